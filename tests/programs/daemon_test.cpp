#include "child_process.hpp"
#include "run_program.hpp"

#include <geraniumdoor/net/http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <csignal>
#include <optional>
#include <thread>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace json = boost::json;

// Guards against an answer of the daemon that a script cannot read: an error without the
// documented fields, or a host that does not say why it is not ready.
TestSuite(daemon_process);

namespace
{

enum class api : std::uint8_t
{
    caller = 1,
    admin = 2,
};

/// Settings of a daemon whose ports follow the given one. Tests run at the same time, so
/// each has ports of its own.
std::string settings(int port)
{
    const auto address = [port](int offset)
    {
        return "\"127.0.0.1:" + std::to_string(port + offset) + '"';
    };
    return R"({"node": "entry-1", "data_centre": "a", "region": "r",)"
           R"("caller_address": )" +
           address(1) + R"(, "admin_address": )" + address(2) + R"(, "peer_address": )" +
           address(3) + R"(, "table_service": )" + address(9) + R"(, "host_list": )" +
           address(9) + '}';
}

http_response call(int port, http_request request)
{
    asio::io_context io;
    http_client client{io.get_executor(), {}};
    std::optional<result<http_response, http_error>> outcome;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            const asio::ip::tcp::endpoint place{asio::ip::make_address("127.0.0.1"),
                                                static_cast<unsigned short>(port)};
            outcome = co_await client.send(place, request);
            client.close_idle();
        },
        asio::detached);
    io.run();
    return outcome && is_ok(*outcome) ? value_of(*outcome) : http_response{0, {}, ""};
}

/// A daemon without platform and without other hosts. Killed at the end of the test.
class running_daemon
{
public:
    explicit running_daemon(int port)
        : m_port{port}, m_file{"daemon-" + std::to_string(port) + ".json", settings(port)}
    {
        const char* directory = std::getenv("GD_PROGRAMS");
        const std::string place = directory != nullptr ? directory : "build/check";
        const std::string command = "echo $$; exec " + place +
                                    "/geraniumdoord --settings " + m_file.path() +
                                    " 2>/dev/null";
        m_pipe = popen(command.c_str(), "r");
        cr_assert(m_pipe != nullptr && std::fscanf(m_pipe, "%d", &m_process) == 1);
        for (int i = 0; i < 300 && ask("GET", "/healthz").m_status != 200; ++i)
        {
            std::this_thread::sleep_for(100ms);
        }
    }

    ~running_daemon()
    {
        if (m_process > 0)
        {
            kill(m_process, SIGKILL);
        }
        pclose(m_pipe);
    }

    http_response ask(const char* method, const std::string& target,
                      const std::string& body = "", api to = api::admin) const
    {
        return call(m_port + static_cast<int>(to), {method, target, {}, body});
    }

private:
    int m_port;
    scratch_file m_file;
    std::FILE* m_pipe = nullptr;
    int m_process = 0;
};

struct wrong_request
{
    api m_api;
    const char* m_method;
    const char* m_target;
    const char* m_body;
    unsigned m_status;
    const char* m_code;
    const char* m_field;
};

bool is_documented(const http_response& answer, const wrong_request& wrong)
{
    json::error_code error;
    const json::value document = json::parse(answer.m_body, error);
    const json::object* object = error ? nullptr : document.if_object();
    const json::value* part = object ? object->if_contains("error") : nullptr;
    if (answer.m_status != wrong.m_status || part == nullptr || not part->is_object())
    {
        return false;
    }
    const json::object& fields = part->get_object();
    return fields.at("code") == json::value(wrong.m_code) &&
           fields.at("field") == json::value(wrong.m_field) &&
           fields.at("ran") == json::value("not_run") && fields.contains("message") &&
           fields.contains("retry_after_ms") &&
           find_field(answer.m_fields, "Content-Type") == "application/json";
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(daemon_process, every_error_has_the_documented_fields)
{
    const running_daemon daemon{24200};
    const std::string pipeline = "/v1/pipelines/advice";
    const wrong_request wrongs[] = {
        {api::caller, "GET", "/", "", 404, "not_found", "path"},
        {api::caller, "POST", "/v1/addresses", "", 404, "not_found", "path"},
        {api::caller, "GET", pipeline.c_str(), "", 404, "not_found", "method"},
        {api::caller, "POST", pipeline.c_str(), "{}", 503, "not_ready", ""},
        {api::admin, "GET", "/", "", 404, "not_found", "path"},
        {api::admin, "DELETE", "/admin/config", "", 404, "not_found", "path"},
        {api::admin, "GET", "/admin/changes/c1", "", 404, "not_found", "change_id"},
        {api::admin, "POST", "/admin/changes", "{", 400, "bad_request", ""},
        {api::admin, "POST", "/admin/changes", R"({"operator":"a"})", 400, "bad_request",
         "change_id"},
        {api::admin, "POST", "/admin/sheet", "{}", 400, "bad_request", "change_id"},
        {api::admin, "POST", "/admin/data-centres/a/off",
         R"({"change_id":"c1","operator":"a"})", 400, "bad_request", "state"},
        {api::admin, "POST", "/admin/hosts/entry-2/x/forget", R"({"operator":"a"})", 400,
         "bad_request", "incarnation"},
        {api::admin, "GET", "/admin/in-doubt", "", 503, "table_service_unavailable", ""},
    };
    for (const auto& wrong : wrongs)
    {
        const auto answer =
            daemon.ask(wrong.m_method, wrong.m_target, wrong.m_body, wrong.m_api);
        cr_expect(is_documented(answer, wrong), "%s %s %s: %u %s", wrong.m_method,
                  wrong.m_target, wrong.m_body, answer.m_status, answer.m_body.c_str());
    }
}

Test(daemon_process, a_host_says_why_it_is_not_ready_and_shows_its_metrics)
{
    const running_daemon daemon{24210};
    const auto ready = daemon.ask("GET", "/readyz");
    EXPECT_EQUAL(ready.m_status, 503u);
    EXPECT_EQUAL(ready.m_body, "no configuration from a peer or the table service yet\n");
    daemon.ask("POST", "/v1/pipelines/advice", "{}", api::caller);
    const std::string text = daemon.ask("GET", "/metrics").m_body;
    for (const char* line :
         {"gd_ready 0\n", "gd_members 1\n", "gd_config_version 0\n",
          "gd_refused_total{reason=\"not_ready\"} 1\n", "gd_in_doubt_total 0\n",
          "# TYPE gd_retries_total counter\n"})
    {
        cr_expect(contains(text, line), "%s is missing in %s", line, text.c_str());
    }
}

Test(daemon_process, only_a_process_that_does_not_answer_can_be_declared_gone)
{
    const running_daemon daemon{24220};
    const std::string body = R"({"operator":"ade"})";
    const auto hosts = json::parse(daemon.ask("GET", "/admin/hosts").m_body);
    const auto& row = hosts.at("hosts").at(0);
    const std::string own = std::to_string(row.at("incarnation").to_number<long>());
    const auto alive =
        daemon.ask("POST", "/admin/hosts/entry-1/" + own + "/forget", body);
    EXPECT_EQUAL(alive.m_status, 409u);
    cr_expect(contains(alive.m_body, "host_alive"), "%s", alive.m_body.c_str());
    const auto end = run_program("gdctl --host 127.0.0.1:24222 --operator ade "
                                 "forget-host entry-9 7 --yes");
    EXPECT_EQUAL(end.m_code, 0);
    cr_expect(end.says("outcome: declared gone"), "%s", end.m_text.c_str());
}

// Guards against a signal that ends a daemon by its default action while its handlers are
// not in place, before it has started or after its planned stop.
Test(daemon_process, a_signal_never_kills_a_daemon_that_starts_or_has_stopped)
{
    const char* directory = std::getenv("GD_PROGRAMS");
    const std::string programs = directory != nullptr ? directory : "build/check";
    const scratch_file file{"stopped-daemon.json", settings(24230)};
    const scratch_file log{"stopped-daemon.log", ""};
    test::child_process daemon;
    cr_assert(daemon.start({programs + "/geraniumdoord", "--settings", file.path()},
                           log.path(), {SIGTERM}));
    const auto code = daemon.send_until_end(SIGTERM, 20s);
    // A failed assertion would leave the process behind.
    cr_expect(code.has_value());
    cr_expect(code.value_or(0) == 0, "the daemon ended with %d", code.value_or(0));
}
