"""Constants of the fault proxy."""

SECTION_PROXY = "proxy"
SECTION_LINK_PREFIX = "link "

CONF_LISTEN = "listen"
CONF_TARGET = "target"

PATH_LINKS = "/v1/links"

CHUNK_BYTES = 16_384
MAX_QUEUED_CHUNKS = 64
CONNECT_TIMEOUT_S = 10.0
