"""Reads the metrics of a process."""

from prometheus_client.parser import text_string_to_metric_families

from bench.http_exchange import exchange


def read_metrics(admin_port: int) -> dict[str, float]:
    """Return the values of all samples, keyed by `name` or `name{label value,...}`."""
    text = exchange(admin_port, "GET", "/metrics").data.decode()
    return {
        _key(sample.name, sample.labels): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def _key(name: str, labels: dict[str, str]) -> str:
    return f"{name}{{{','.join(labels.values())}}}" if labels else name
