"""Separates the items of a JSON array of which some may be malformed."""

import re

# Strings as a whole, so that brackets and commas in them do not count; a quote without an
# end is a token of its own.
_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{},"]', re.DOTALL)
_CLOSING = {b"[": b"]", b"{": b"}"}
_OBJECT_START = re.compile(rb"(?<=[\[,])\s*(?=\{)")
# Limits the time for a page of broken entries: each failed search reads up to its end.
MAX_FAILED_SEARCHES = 64


def split_array(document: bytes, key: str) -> tuple[list[bytes], bytes] | None:
    """Return the items of the array `key`, and the document with that array emptied.

    Nothing in an item is decoded, so bytes that are no JSON and any depth harm no other
    item. After an item that is cut short, the next one begins at the next object that is
    whole. `None` if the document has no such array. Example:

        >>> split_array(b'{"a":[1,{"b":NaN}],"c":2}', "a")
        ([b'1', b'{"b":NaN}'], b'{"a":[],"c":2}')
    """
    head = re.search(rb'"%s"\s*:\s*\[' % re.escape(key.encode()), document)
    if head is None:
        return None
    items: list[bytes] = []
    position, failed_searches = head.end(), 0
    while failed_searches < MAX_FAILED_SEARCHES:
        end = _item_end(document, position)
        if end is not None:
            item = document[position:end].strip()
            items += [item] if item else []
            if document[end : end + 1] == b"]":
                return items, document[: head.end()] + document[end:]
            position = end + 1
            continue
        failed_searches += 1
        next_object = _OBJECT_START.search(document, position + 1)
        if next_object is None:
            break
        position = next_object.end()
    return items, document[: head.end()] + document[document.rfind(b"]") :]


def _item_end(document: bytes, start: int) -> int | None:
    """Return the position of the comma or bracket after an item; `None` if it has no end."""
    expected: list[bytes] = []
    for token in _TOKENS.finditer(document, start):
        mark = token[0]
        if not expected and mark in (b",", b"]"):
            return token.start()
        if mark in _CLOSING:
            expected.append(_CLOSING[mark])
        elif mark == b'"' or (mark in (b"]", b"}") and (not expected or expected.pop() != mark)):
            return None
    return None
