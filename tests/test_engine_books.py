"""Books of engines: what all instances gave them."""

from foxtailsaddle.core import EndpointId, EngineBooks, InstanceId, Job, JobId

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
