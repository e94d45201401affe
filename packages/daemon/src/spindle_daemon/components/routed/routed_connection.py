"""Connection to an upstream."""

import socket
import weakref

import gevent.socket

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.attempt_error import AttemptError
from spindle_daemon.components.routed.raw_reply import RawReply
from spindle_daemon.components.routed.receive_budget import ReceiveBudget
from spindle_daemon.components.routed.reply_parser import ReplyParser
from spindle_daemon.components.routed.reply_too_long_error import ReplyTooLongError

_PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT
_TCP_USER_TIMEOUT = 18


class RoutedConnection:
    """Carries one request at a time; must be closed after any failure.

    `budget` limits the bytes of the answers of all connections together.
    `idle_until` is the time until which it may be reused: after that the upstream may
    close it.
    """

    def __init__(self, sock: gevent.socket.socket, budget: ReceiveBudget) -> None:
        self.sock = sock
        self.budget = budget
        self.idle_since = 0.0
        self.idle_until = 0.0

    def is_reusable(self, now: float, max_idle_s: float) -> bool:
        """Return whether an idle connection may carry a request.

        It must be idle for at most `max_idle_s`, still open and without unread bytes.
        """
        if now >= self.idle_until or now - self.idle_since > max_idle_s:
            return False
        try:
            self.sock._sock.recv(1, _PEEK)
        except BlockingIOError:
            return True
        except (OSError, AttributeError):
            return False
        return False

    def exchange(self, method: str, request: bytes) -> RawReply:
        """Send a request and return the answer; raise `AttemptError` if it is incomplete."""
        parser = ReplyParser(method)
        held = 0
        try:
            self.sock.sendall(request)
            while not parser.is_complete():
                data = self.sock.recv(const.RECEIVE_BYTES)
                self.budget.acquire(len(data))
                held += len(data)
                parser.feed_data(data)
                if not data:
                    break
            if not parser.is_complete():
                if not parser.received_bytes:
                    raise AttemptError("closed without an answer", not_sent=False, broken=True)
                raise AttemptError("answer ends early", not_sent=False)
            reply = _reply(parser, at_end=not data)
            if held > const.LONG_ANSWER_BYTES:
                weakref.finalize(reply, self.budget.release, held)
                held = 0
            return reply
        except AttemptError:
            raise
        except ReplyTooLongError as err:
            raise AttemptError(str(err), not_sent=False, too_long=True) from err
        except Exception as err:
            is_broken = isinstance(err, ConnectionError) and not parser.received_bytes
            text = f"{type(err).__name__}: {err}"[:200]
            raise AttemptError(text, not_sent=False, broken=is_broken) from err
        finally:
            self.budget.release(held)

    def close(self) -> None:
        """Close the connection, which cancels a request in flight."""
        self.sock.close()


def open_connection(host: str, port: int, budget: ReceiveBudget) -> RoutedConnection:
    """Connect to an upstream; raise `AttemptError` if that fails or takes too long."""
    sock = gevent.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(const.CONNECT_TIMEOUT_S)
        sock.connect((host, port))
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, _TCP_USER_TIMEOUT, const.USER_TIMEOUT_MS)
    except OSError as err:
        sock.close()
        raise AttemptError(f"not connected: {err}"[:200], not_sent=True) from err
    except BaseException:
        sock.close()
        raise
    return RoutedConnection(sock, budget)


def _reply(parser: ReplyParser, at_end: bool) -> RawReply:
    pairs = tuple(parser.info().pairs)
    header_values = {name.lower(): value for name, value in pairs}
    keep_alive = not parser.has_extra_bytes and not at_end and not parser.should_close()
    return RawReply(
        status=parser.status_code,
        reason=parser.status_message or "",
        headers=pairs,
        header_values=header_values,
        body=bytes(parser._body_buffer),
        keep_alive=keep_alive,
    )
