"""Tests of histograms and counters."""

from __future__ import annotations

import json
import random

import pytest
from hdrh.histogram import HdrHistogram

from celeryjunction.contract import Rank
from celeryjunction.metrics import MAX_LATENCY_US, Metrics, format_metrics


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


class TestLines:
    @pytest.mark.parametrize(
        "label",
        ["a\nb 1", 'a"} 1', "a\\", "a\r\nb", "\x1b[0m", "a\u2028b", "\x85", "\ud800"],
    )
    def test_odd_labels_neither_add_lines_nor_end_the_label(self, label: str) -> None:
        metrics = Metrics()
        metrics.count("shed", customer=label, rank="urgent")
        record(metrics, 0.001, customer=label)
        lines = format_metrics(metrics)
        assert len("\n".join(lines).splitlines()) == len(lines) == 6
        quoted = json.dumps(label)
        assert lines[0] == f'shed{{customer={quoted},rank="urgent"}} 1'
        start = f'latency_count{{rank="urgent",database={quoted}}} '
        assert lines[1] == f"{start}1"

    def test_plain_labels_are_unchanged(self) -> None:
        metrics = Metrics()
        metrics.count("shed", customer="coop.counter")
        assert format_metrics(metrics) == ['shed{customer="coop.counter"} 1']
