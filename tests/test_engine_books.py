"""Books of engines: what all instances gave them."""

from foxtailsaddle.core import (
    EndpointId,
    EngineBooks,
    InstanceId,
    Job,
    JobId,
    RetryWindow,
)
from foxtailsaddle.forward._fleet import Fleet

A, B = EndpointId("a"), EndpointId("b")


def job(number, endpoint=A, helpers=(), part_ms=100.0, origin="i1", **options):
    return Job(
        id=JobId(number),
        origin=InstanceId(origin),
        endpoint=endpoint,
        helpers=helpers,
        prompt_tokens=10_000,
        output_tokens=1_000,
        part_ms=part_ms,
        gap_ms=250.0,
        weight=1.0,
        **options,
    )


class TestReading:
    def test_parts_queue_at_each_engine(self):
        books = EngineBooks()
        books.place(job(1, helpers=(B,)), 1000.0, 0.0)
        books.place(job(2), 1000.0, 0.0)
        assert round(books.load(A, 0.0).read_ms) == 200
        assert round(books.load(B, 0.0).read_ms) == 100

    def test_a_first_event_ends_the_reading(self):
        books = EngineBooks()
        books.place(job(1, helpers=(B,)), 1000.0, 0.0)
        books.begin(JobId(1), 0.05)
        assert books.load(A, 0.05).read_ms == 0
        assert books.load(B, 0.05).read_ms == 0
        assert books.load(A, 0.05).writers == 1

    def test_a_job_that_ends_unread_gives_its_time_back(self):
        books = EngineBooks()
        books.place(job(1), 1000.0, 0.0)
        books.place(job(2), 1000.0, 0.0)
        books.end(JobId(1), 0.0)
        assert round(books.load(A, 0.0).read_ms) == 100


class TestEnds:
    def test_an_ended_job_leaves_nothing(self):
        books = EngineBooks()
        books.place(job(1, helpers=(B,), held={B: 5_000}), 1000.0, 0.0)
        assert books.load(B, 0.0).kv_tokens == 5_000
        books.end(JobId(1), 0.1)
        assert books.load(A, 0.1).requests == 0
        assert books.load(B, 0.1).kv_tokens == 0

    def test_a_job_whose_end_was_lost_expires(self):
        books = EngineBooks()
        books.place(job(1), 1000.0, 0.0)
        books.expire(2.0)
        assert len(books) == 1
        books.expire(60.0)
        assert len(books) == 0

    def test_an_instance_that_died_takes_its_jobs_along(self):
        books = EngineBooks()
        books.place(job(1, origin="dead"), 1000.0, 0.0)
        books.place(job(2, origin="alive"), 1000.0, 0.0)
        books.end_of(InstanceId("dead"), 0.1)
        assert books.get(JobId(1)) is None
        assert books.get(JobId(2)) is not None

    def test_an_endpoint_that_is_gone_takes_its_jobs_along(self):
        books = EngineBooks()
        books.place(job(1, helpers=(B,)), 1000.0, 0.0)
        books.forget(A, 0.1)
        assert books.load(B, 0.1).read_ms == 0

    def test_a_repeated_note_counts_once(self):
        books = EngineBooks()
        books.place(job(1), 1000.0, 0.0)
        books.place(job(1), 1000.0, 0.0)
        assert round(books.load(A, 0.0).read_ms) == 100


class Told:
    """Keeps what an instance would tell the others."""

    def __init__(self):
        self.began_jobs = []

    def notify_placed(self, job, writing_ms):
        pass

    def notify_began(self, job):
        self.began_jobs.append(job)


class TestFirstEventsAsPredicted:
    """Pattern: a large fleet, where every note goes to every instance."""

    def told(self, began_at, **options):
        fleet = Fleet(InstanceId("i1"), RetryWindow(0.2, 10.0, 100.0))
        fleet.notifier = Told()
        fleet.place(job(1, **options), 2_000.0, 0.0)
        fleet.begin(JobId(1), began_at)
        return fleet.notifier.began_jobs

    def test_one_in_time_is_not_told(self):
        assert self.told(0.2) == []

    def test_one_that_is_late_is_told(self):
        assert self.told(0.4) == [JobId(1)]

    def test_one_that_yields_is_always_told(self):
        assert self.told(0.1, yields=True) == [JobId(1)]

    def test_the_others_count_it_as_begun_at_its_time(self):
        books = EngineBooks()
        books.place(job(1, helpers=(B,)), 2_000.0, 0.0)
        assert books.load(A, 0.05).writers == 0
        assert books.load(B, 0.05).helping == 1
        assert books.load(A, 0.15).writers == 1
        assert books.load(B, 0.15).helping == 0

    def test_its_slot_is_expected_back_at_its_end(self):
        books = EngineBooks()
        books.place(job(1), 2_000.0, 0.0)
        assert [round(ms) for ms in books.load(A, 1.1).ends_ms] == [1_000]
