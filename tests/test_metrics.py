"""Tests of histograms and counters."""

from __future__ import annotations

import random
import re

import pytest
from hdrh.histogram import HdrHistogram
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryjunction.contract import Rank
from celeryjunction.metrics import MAX_LATENCY_US, Metrics, format_metrics

SAMPLE = re.compile(r'[a-z0-9_]+\{((?:[a-z]+="(?:[^"\\\n]|\\[\\"n])*",?)*)\} [0-9]+')
LABEL = re.compile(r'([a-z]+)="((?:[^"\\]|\\.)*)"')
ESCAPES = {"\\\\": "\\", '\\"': '"', "\\n": "\n"}


def read_labels(line: str) -> dict[str, str]:
    """Return the labels of a sample as a scraper reads them."""
    sample = SAMPLE.fullmatch(line)
    assert sample is not None, line
    return {
        name: re.sub(r"\\.", lambda found: ESCAPES[found[0]], value)
        for name, value in LABEL.findall(sample[1])
    }


def record(metrics: Metrics, seconds: float, **changes: str) -> None:
    labels = {"customer": "coop", "endpoint": "e1", **changes}
    metrics.record_latency(rank=Rank.URGENT, seconds=seconds, **labels)


class TestLatency:
    def test_counts_equal_those_of_the_reference_histogram(self) -> None:
        # `record` computes the index itself. Guards against a mismatch with the layout
        # of HdrHistogram.
        random.seed(1)
        values = [*range(1, 2000), *(1 << n for n in range(31)), MAX_LATENCY_US]
        values += [int(10 ** random.uniform(0, 9.5)) for _ in range(5000)]
        reference = HdrHistogram(1, MAX_LATENCY_US, 2)
        metrics = Metrics()
        for value in values:
            reference.record_value(value)
            record(metrics, (value + 0.5) / 1e6)
        (row,) = metrics.snapshot()["latency"]
        (histogram,) = metrics._latencies[Rank.URGENT].values()
        assert list(histogram._counts) == list(reference.counts)
        assert (row["count"], row["rank"]) == (len(values), "urgent")
        assert row["p50_us"] == pytest.approx(
            sorted(values)[len(values) // 2], rel=0.01
        )
        assert row["p99_us"] == reference.get_value_at_percentile(99)
        assert row["p999_us"] <= row["max_us"] == MAX_LATENCY_US

    def test_values_out_of_range(self) -> None:
        # Guards against losing or failing to record values from irregular clock
        # readings, such as negative ones.
        metrics = Metrics()
        for seconds in (0.0, -1.0, 1e9):
            record(metrics, seconds)
        (row,) = metrics.snapshot()["latency"]
        assert (row["count"], row["max_us"]) == (3, MAX_LATENCY_US)

    def test_label_sets_are_bounded(self) -> None:
        # Guards against memory use that grows with the number of customers.
        metrics = Metrics(max_latency_sets=2)
        for number in range(10):
            record(metrics, 0.001, customer=f"c{number}")
        rows = metrics.snapshot()["latency"]
        counts = {row["customer"]: row["count"] for row in rows}
        assert counts == {"c0": 1, "c1": 1, "other": 8}


class TestCounters:
    def test_label_order_is_ignored_and_label_sets_are_bounded(self) -> None:
        metrics = Metrics(max_counters=1)
        metrics.count("shed", customer="coop", rank="urgent")
        metrics.count("shed", 2, rank="urgent", customer="coop")
        for number in range(5):
            metrics.count("login", customer=f"c{number}")
        assert metrics.snapshot()["counters"] == [
            {"name": "login", "labels": {"customer": "other"}, "value": 5},
            {
                "name": "shed",
                "labels": {"customer": "coop", "rank": "urgent"},
                "value": 3,
            },
        ]


class TestExposition:
    @given(
        st.text(
            st.characters(exclude_categories=["Cs"]) | st.sampled_from('"\\\n\r,=}{')
        )
    )
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_a_label_value_cannot_forge_a_sample(self, name: str) -> None:
        metrics = Metrics()
        record(metrics, 0.001, customer=name)
        metrics.count("forwarded_statements", home=name)
        lines = ("\n".join(format_metrics(metrics))).split("\n")
        assert len(lines) == 6
        assert read_labels(lines[0]) == {"home": name}
        for line in lines[1:]:
            assert read_labels(line) == {"rank": "urgent", "database": name}
