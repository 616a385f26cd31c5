#include "load_policies.hpp"
#include "load_report.hpp"
#include "program_support.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cxxopts.hpp>

#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <stdexcept>

using namespace geraniumdoor;

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;

using policy =
    std::function<asio::awaitable<void>(const load_arrival&, time_point, load_outcome&)>;

constexpr unsigned baseline_retries = 3;
/// Time after the last answer in which abandoned upstream calls come to an end.
constexpr milliseconds settle_time{500};
/// Lists of executions grow with the life of the stand-ins.
constexpr std::size_t max_evidence_bytes = std::size_t{256} * 1024 * 1024;
constexpr milliseconds evidence_timeout{20'000};

struct load_options
{
    std::string m_policy;
    std::vector<tcp::endpoint> m_hosts;
    std::string m_failures;
};

cxxopts::Options make_options()
{
    cxxopts::Options options{"gdload",
                             "Sends open-loop load and reports what came back."};
    options.add_options()("policy", "product, baseline or direct",
                          cxxopts::value<std::string>(), "NAME")(
        "sheet", "sheet of the deployment", cxxopts::value<std::string>(), "FILE")(
        "upstreams", "settings of the upstream stand-ins", cxxopts::value<std::string>(),
        "FILE")("host", "caller address of an entry host; repeatable",
                cxxopts::value<std::vector<std::string>>(),
                "IP:PORT")("load", "share of the capacity",
                           cxxopts::value<double>()->default_value("0.7"), "SHARE")(
        "seconds", "time that counts", cxxopts::value<double>()->default_value("10"),
        "S")("warm-up", "time before that", cxxopts::value<double>()->default_value("3"),
             "S")("seed", "seed of the arrivals",
                  cxxopts::value<std::uint64_t>()->default_value("1"), "N")(
        "run", "prefix of the markers; unique in the life of the stand-ins",
        cxxopts::value<std::string>()->default_value("load"),
        "NAME")("failures", "file for requests without a whole answer in time",
                cxxopts::value<std::string>()->default_value(""),
                "FILE")("help", "print this text and exit");
    return options;
}

tcp::endpoint parse_host(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        throw std::runtime_error{"--host " + text + " is not IP:PORT"};
    }
    const int port = std::stoi(text.substr(colon + 1));
    return {asio::ip::make_address(text.substr(0, colon)),
            static_cast<std::uint16_t>(port)};
}

duration to_duration(double length_s)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{length_s});
}

/// Sends a request to any of the upstream stand-ins, which answers for all.
asio::awaitable<json::value> ask_upstreams(http_client& http, tcp::endpoint any,
                                           std::string target)
{
    http_request request;
    request.m_target = std::move(target);
    http_call_options options;
    options.m_timeout = evidence_timeout;
    const auto answer = co_await http.send(any, std::move(request), options);
    if (!is_ok(answer))
    {
        throw std::runtime_error{"no answer from the upstream stand-ins: " +
                                 error_of(answer).m_detail};
    }
    co_return json::parse(value_of(answer).m_body);
}

asio::awaitable<std::int64_t> read_overloads(http_client& http, tcp::endpoint any)
{
    const auto answer = co_await ask_upstreams(http, any, "/v1/stats?all=1");
    std::int64_t total = 0;
    for (const auto& row : answer.at("stats").as_array())
    {
        total += row.at("overloads").to_number<std::int64_t>();
    }
    co_return total;
}

asio::awaitable<void> sleep_until(asio::any_io_executor executor, time_point end)
{
    asio::steady_timer timer{executor, end};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// Sends the arrivals at their times and reads the evidence when all have ended.
class load_driver
{
public:
    load_driver(asio::io_context& io, load_run& run,
                const std::vector<load_arrival>& arrivals, policy run_one)
        : m_io{io}, m_run{run}, m_arrivals{arrivals}, m_run_one{std::move(run_one)}
    {
        m_run.m_outcomes.resize(arrivals.size());
    }

    asio::awaitable<void> drive(http_client& http)
    {
        const tcp::endpoint any =
            m_run.m_deployment->m_pools.begin()->second.front().m_address;
        const std::int64_t before = co_await read_overloads(http, any);
        co_await ask_upstreams(http, any, "/v1/work/take?all=1");
        co_await send_all();
        const time_point settled = std::chrono::steady_clock::now() + settle_time;
        co_await sleep_until(m_io.get_executor(), settled);
        const std::int64_t after = co_await read_overloads(http, any);
        m_run.m_evidence.m_overloads = after - before;
        const auto work = co_await ask_upstreams(http, any, "/v1/work/take?all=1");
        m_run.m_evidence.m_work = work.at("work").as_array();
        const auto ran = co_await ask_upstreams(http, any, "/v1/executions?all=1");
        m_run.m_evidence.m_executions = ran.at("executions").as_array();
        http.close_idle();
    }

private:
    asio::awaitable<void> send_all()
    {
        constexpr milliseconds poll{20};
        const time_point start = std::chrono::steady_clock::now();
        bool announced = false;
        for (std::size_t index = 0; index < m_arrivals.size(); ++index)
        {
            const time_point due = start + m_arrivals[index].m_at;
            co_await sleep_until(m_io.get_executor(), due);
            m_run.m_late = std::max(m_run.m_late, std::chrono::steady_clock::now() - due);
            if (!announced && m_arrivals[index].m_at >= m_run.m_warm_up)
            {
                std::cerr << "measuring" << std::endl;
                announced = true;
            }
            ++m_open;
            asio::co_spawn(m_io, send_one(index, due), asio::detached);
        }
        while (m_open > 0)
        {
            const time_point next = std::chrono::steady_clock::now() + poll;
            co_await sleep_until(m_io.get_executor(), next);
        }
    }

    asio::awaitable<void> send_one(std::size_t index, time_point due)
    {
        load_outcome& outcome = m_run.m_outcomes[index];
        outcome.m_arrival = &m_arrivals[index];
        co_await m_run_one(m_arrivals[index], due, outcome);
        outcome.m_latency = std::chrono::steady_clock::now() - due;
        --m_open;
    }

    asio::io_context& m_io;
    load_run& m_run;
    const std::vector<load_arrival>& m_arrivals;
    policy m_run_one;
    std::size_t m_open = 0;
};

policy make_policy(http_client& http, const load_deployment& deployment,
                   const load_options& options)
{
    if (options.m_policy == "product")
    {
        auto callers = std::make_shared<entry_callers>(http, deployment, options.m_hosts);
        return [callers](const load_arrival& arrival, time_point due, load_outcome& end)
        {
            return callers->run(arrival, due, end);
        };
    }
    if (options.m_policy != "baseline" && options.m_policy != "direct")
    {
        throw std::runtime_error{"--policy is product, baseline or direct"};
    }
    const unsigned retries = options.m_policy == "baseline" ? baseline_retries : 0;
    auto callers = std::make_shared<direct_callers>(http, deployment, retries);
    return [callers](const load_arrival& arrival, time_point due, load_outcome& end)
    {
        return callers->run(arrival, due, end);
    };
}

void run_load(const cxxopts::ParseResult& arguments)
{
    const load_deployment deployment = read_deployment(
        arguments["sheet"].as<std::string>(), arguments["upstreams"].as<std::string>());
    load_options options;
    options.m_policy = arguments["policy"].as<std::string>();
    options.m_failures = arguments["failures"].as<std::string>();
    if (arguments.count("host") != 0)
    {
        for (const auto& host : arguments["host"].as<std::vector<std::string>>())
        {
            options.m_hosts.push_back(parse_host(host));
        }
    }
    load_run run;
    run.m_deployment = &deployment;
    run.m_run = arguments["run"].as<std::string>();
    run.m_rate_per_s = deployment.m_capacity_per_s * arguments["load"].as<double>();
    run.m_warm_up = to_duration(arguments["warm-up"].as<double>());
    run.m_length = run.m_warm_up + to_duration(arguments["seconds"].as<double>());
    const auto arrivals = make_arrivals(deployment, run.m_rate_per_s, run.m_length,
                                        arguments["seed"].as<std::uint64_t>(), run.m_run);
    asio::io_context io{1};
    http_limits limits;
    limits.m_body_bytes = max_evidence_bytes;
    http_client http{io.get_executor(), limits};
    load_driver driver{io, run, arrivals, make_policy(http, deployment, options)};
    asio::co_spawn(io, driver.drive(http),
                   [](std::exception_ptr error)
                   {
                       if (error)
                       {
                           std::rethrow_exception(error);
                       }
                   });
    io.run();
    write_report(std::cout, run);
    if (!options.m_failures.empty())
    {
        std::ofstream file{options.m_failures};
        write_failures(file, run);
    }
}

} // namespace

int main(int count, char** values)
{
    try
    {
        auto options = make_options();
        const auto arguments = options.parse(count, values);
        if (arguments.count("help") != 0)
        {
            std::cout << options.help();
            return exit_ok;
        }
        run_load(arguments);
        return exit_ok;
    }
    catch (const std::exception& error)
    {
        std::cerr << "gdload: " << error.what() << "; see --help\n";
        return exit_usage;
    }
}
