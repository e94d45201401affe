"""Faults in good answers."""

import dataclasses

import gevent

from spindle_devkit.upstream.answer import Answer
from spindle_devkit.upstream.standin_upstream import StandinUpstream

FOREIGN_ID = "not-the-id-you-sent"


class AnswerSpoiler:
    """Makes answers late, swapped, foreign or truncated, as many as were asked for."""

    def __init__(self, upstream: StandinUpstream) -> None:
        self.upstream = upstream

    def spoil(self, answer: Answer) -> Answer:
        """Return the answer that is sent instead; often it is the same one."""
        behavior = self.upstream.behavior
        if behavior.late_next > 0:
            behavior.late_next -= 1
            gevent.sleep(behavior.late_s)
        if behavior.swap_next > 0:
            behavior.swap_next -= 1
            answer = self.upstream.swaps.exchange(answer)
        if behavior.wrong_id_next > 0:
            behavior.wrong_id_next -= 1
            answer = dataclasses.replace(answer, request_id=FOREIGN_ID)
        if behavior.truncate_next > 0:
            behavior.truncate_next -= 1
            answer = dataclasses.replace(answer, truncated=True)
        return answer
