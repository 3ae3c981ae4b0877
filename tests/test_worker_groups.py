"""Tests of how tests are distributed over workers, and of what they leave to others."""

from __future__ import annotations

import gc

import pytest
from worker_groups import group_of


class TestWorkers:
    @pytest.mark.parametrize("number", range(24))
    def test_tests_of_a_file_run_on_one_worker(
        self,
        number: int,
        worker_id: str,
        tmp_path_factory: pytest.TempPathFactory,
    ) -> None:
        if worker_id == "master":
            pytest.skip("not run by pytest-xdist")
        # All workers of a run share the folder above their own.
        folder = tmp_path_factory.getbasetemp().parent / "workers"
        folder.mkdir(exist_ok=True)
        (folder / worker_id).touch()
        assert [path.name for path in folder.iterdir()] == [worker_id]

    def test_tests_that_start_processes_share_a_group(self) -> None:
        groups = {
            group_of(f"tests/{file}.py::TestX::test_y")
            for file in ("test_soak", "test_commits_lost")
        }
        assert len(groups) == 1


class TestCollections:
    def test_objects_of_other_tests_are_collected_again(self) -> None:
        # A test that starts processes exempts them while it runs.
        assert gc.get_freeze_count() == 0
