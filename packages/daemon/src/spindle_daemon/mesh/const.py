"""Limits of the messages between processes."""

SEND_QUEUE_MESSAGES = 128
RECV_QUEUE_MESSAGES = 128
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 200
# Time without a connection after which a socket is replaced: a dial may hang while a machine
# is cut off. One that is refused is repeated by the socket, and replacing a socket in that
# moment can abort the process.
CONNECT_TIMEOUT_S = 2.4
MAX_PEERS = 1024
# Numbers of frames stay short on the wire, and two lives of a process rarely share one.
FIRST_SEQ_BITS = 31
