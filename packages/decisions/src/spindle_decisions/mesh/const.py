"""Times of the acknowledgements between processes."""

# An acknowledgement travels with the next frame to the peer, or alone after this time.
ACK_DELAY_S = 0.25
# Time without an acknowledgement after which a connection is opened anew.
ACK_TIMEOUT_S = 1.2
CHECK_INTERVAL_S = 0.2
# A longer pause between two checks means that this process did not run: acknowledgements
# may have arrived meanwhile that it has not read yet.
MAX_CHECK_GAP_S = 0.6
