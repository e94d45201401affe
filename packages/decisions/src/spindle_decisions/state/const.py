"""Constants of the replicated state."""

MAX_NOTE_TEXTS = 256
MAX_NOTE_TEXTS_BYTES = 1024 * 1024

SNAPSHOT_FORMAT = 1

CODE_NUMBER_TAKEN = "note-number-taken"
CODE_NUMBER_NOT_NEXT = "note-number-not-next"
CODE_ID_REUSED = "note-id-reused"
