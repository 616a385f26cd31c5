#pragma once

#include "planned_silence.hpp"

#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/net/http_server.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace geraniumdoor
{

/// The platform's store in memory, behind HTTP.
struct store_standin
{
    struct row
    {
        std::string m_value;
        std::uint64_t m_version = 0;
        bool m_removed = false;
    };

    /// What an earlier copy of the store holds.
    struct copy
    {
        std::map<std::string, std::map<std::string, row>> m_tables;
        std::uint64_t m_version = 0;
    };

    std::map<std::string, std::map<std::string, row>> m_tables;
    std::uint64_t m_version = 1;
    /// Number of times that the store came back from a copy, and one.
    std::uint64_t m_era = 1;
    /// Answers 503 to all calls.
    bool m_down = false;
    /// Answers 503 to reads of these tables.
    std::set<std::string> m_refused_tables;
    int m_reads = 0;
    int m_transactions = 0;
    /// Rows, as JSON, that each page of the registry has besides those of the table.
    std::vector<std::string> m_odd_rows;

    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    copy make_copy() const;
    /// Loses what was written since the copy was made.
    void go_back(const copy& earlier);
    boost::asio::awaitable<void> serve(http_exchange& exchange);

private:
    http_response apply_transaction(const std::string& body);
    boost::asio::awaitable<void> read_rows(http_exchange& exchange);
    boost::asio::awaitable<void> answer(http_exchange& exchange, http_response response);
};

enum class worker_mode : std::uint8_t
{
    normal,
    /// Runs the request and closes the connection.
    lose_answer,
    /// Declines with a statement that nothing has run.
    decline,
    /// Runs, and answers with its own failure.
    fail,
    /// Runs, and answers with worker_standin::m_refusal_status, without a statement that
    /// nothing has run.
    refuse_after_run,
    /// Begins an answer with chunks and closes in the middle.
    tear,
    /// A stream stalls after two events and sends comments only.
    stall,
    /// A stream goes on after two events with an event that does not end.
    endless_event,
    /// The events of a stream are 400 ms apart.
    slow_stream,
    /// Answers with the id of another request.
    foreign,
    /// Runs, and never answers.
    hang,
    /// Says that an input is gone, which only engines do.
    input_gone,
    /// Answers with a JSON document of 300 KB, also on routes that stream.
    document,
    /// Answers with neither length nor chunks; the end of the connection ends the answer.
    unframed,
    /// The same, and crashes in the middle of the third event of a stream.
    unframed_cut,
    /// The same, and crashes after the head.
    unframed_empty,
};

/// Time in which a worker named a limit.
struct limited_time
{
    std::string m_worker;
    double m_per_s = 0;
    milliseconds m_length{0};
    std::size_t m_arrivals = 0;
};

/// What the workers of a deployment have seen together.
struct worker_ledger
{
    /// Version of the worker that got the last request of each stream.
    std::map<std::string, std::string> m_stream_versions;
    /// Streams that went on at a worker of another version.
    std::vector<std::string> m_joined_streams;
    std::vector<limited_time> m_limited_times;
    silence_ledger m_silences;

    /// Records a request of a stream that may be resumed.
    void add_stream_request(const http_request& request, const std::string& version);
};

/// An upstream that answers "NAME:TARGET", as two events on routes that stream, and makes
/// pieces.
struct worker_standin
{
    std::string m_id;
    std::string m_service;
    std::uint16_t m_port = 0;
    worker_mode m_mode = worker_mode::normal;
    /// Status and size of the body in worker_mode::refuse_after_run.
    unsigned m_refusal_status = 503;
    std::size_t m_refusal_bytes = 0;
    /// Modes of the next requests, before m_mode applies again.
    std::vector<worker_mode> m_script;
    milliseconds m_delay{0};
    /// Why no piece is made; empty to make them.
    std::string m_refuse_pieces;
    /// Status of calls of pieces.
    unsigned m_pieces_status = 200;
    std::map<std::string, int> m_runs;
    std::vector<http_request> m_seen;
    int m_calls = 0;
    std::size_t m_most_pieces = 0;
    int m_released = 0;
    std::string m_address = "127.0.0.1";
    /// Start of its process in Unix milliseconds.
    std::int64_t m_born = 1;
    /// Version of its software in the registry.
    std::string m_version = "v1";
    std::unique_ptr<http_server> m_server;
    /// A request whose prompt has this part crashes the worker when it begins to write.
    std::string m_crash_part;
    /// A request with this body crashes the worker after a while, before the head.
    std::string m_crash_body;
    /// A piece with this key crashes the worker.
    std::string m_crash_piece_key;
    /// Time after which a crashed worker is back.
    milliseconds m_restart_delay{1000};
    /// When requests that crash the worker arrived.
    std::vector<time_point> m_crash_arrivals;
    /// Limit of requests per second that all responses name; empty to name none.
    std::string m_limit;
    /// All responses say that the worker leaves.
    bool m_says_leaving = false;
    /// Retry-After of refusals, in seconds; empty to name none.
    std::string m_retry_after;
    /// When a response first had one of these fields.
    std::optional<time_point> m_notice_given_at;
    /// When requests, calls of pieces and releases arrived.
    std::vector<time_point> m_arrivals;
    /// When a sound response first named the present limit.
    std::optional<time_point> m_limit_named_at;
    std::shared_ptr<worker_ledger> m_ledger = std::make_shared<worker_ledger>();

    /// Listens on m_port of the address. Throws boost::system::system_error if it is
    /// taken.
    void start(const boost::asio::any_io_executor& executor);

    boost::asio::awaitable<void> serve(http_exchange& exchange);
    boost::asio::awaitable<void> run_request(http_exchange& exchange);
    boost::asio::awaitable<void> run_stream(http_exchange& exchange, http_fields fields,
                                            worker_mode mode, silent_run& run);
    boost::asio::awaitable<void> make_pieces(http_exchange& exchange);

    /// Adds what the worker says of itself to the fields of a response.
    void add_notices(http_fields& fields, unsigned status = 200);

    /// Names another limit. Records what arrived while the present one was named, from a
    /// second after the first sound response that named it.
    void set_limit(const std::string& limit);

    /// Closes all connections and the listener, and starts again after the delay.
    void crash(const boost::asio::any_io_executor& executor);
};

/// Row of the registry for a worker that others reach at the port.
std::string registry_entry(const worker_standin& worker, std::uint16_t port,
                           const std::string& state = "ready");

/// Configuration with the pools "plain", "engine" and "stage" and one workspace, whose
/// key is "key".
/// @param routes JSON objects with commas between them
std::string sample_configuration(const std::string& routes, std::uint64_t version);

/// Routes of sample_configuration that tests use: reads, payments, streams, and streams
/// that may be resumed.
extern const char* const sample_read_route;
extern const char* const sample_pay_route;
extern const char* const sample_stream_route;
extern const char* const sample_resume_route;
std::string sample_routes();

/// Requests of the workspace of sample_configuration.
http_request sample_get(const std::string& target, const std::string& id,
                        int deadline_ms);
http_request sample_post(const std::string& target, const std::string& id,
                         int deadline_ms);

/// A request with a prompt and a stage of three pieces.
http_request sample_stream(const std::string& target, const std::string& id,
                           int deadline_ms);

} // namespace geraniumdoor
