#include "crowd_story.hpp"

#include <chrono>

namespace geraniumdoor::test
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

namespace
{

constexpr const char* address = "127.21.0.1";

/// Port of the faulty upstream, from the first port of the test.
constexpr int faulty_offset = 8;

std::string settings_for(int first_port, const crowd_limits& limits)
{
    const auto endpoint = [first_port](int offset)
    {
        return '"' + std::string{address} + ':' + std::to_string(first_port + offset) +
               '"';
    };
    const auto listener = [&endpoint](edge_port port)
    {
        return endpoint(static_cast<int>(port));
    };
    return R"({"host": "host-1", "data_centre": "z1", "region": "r1", "seeds": [],
  "callers": )" +
           listener(edge_port::callers) + R"(, "readiness": )" +
           listener(edge_port::readiness) + R"(, "metrics": )" +
           listener(edge_port::metrics) + R"(, "directory": )" +
           listener(edge_port::directory) + R"(, "peers": )" +
           listener(edge_port::peers) + R"(, "store": )" + endpoint(0) + R"(,
  "processor_share": 1, "open_files": )" +
           std::to_string(limits.m_open_files) + R"(, "memory_mb": )" +
           std::to_string(limits.m_memory_mb) + R"(,
  "retry_ratio": 0.2, "retry_slack": 50, "retry_window_s": 10, "cold_factor": 1.5,
  "cold_extra": 5, "stop_time_s": 8, "address_life_s": 5})";
}

std::string with_limits(std::string configuration, const crowd_limits& limits)
{
    const std::string text = R"("limits":{"maxHeaderBytes":)" +
                             std::to_string(limits.m_header_bytes) +
                             R"(,"maxBodyBytes":)" + std::to_string(limits.m_body_bytes) +
                             R"(,"headerTimeoutMs":3000,"idleTimeoutMs":60000},)";
    return configuration.insert(1, text);
}

/// Adds the service of the faulty upstream.
std::string with_services(std::string configuration)
{
    const std::string first = R"("services":[)";
    return configuration.insert(configuration.find(first) + first.size(),
                                R"({"name":"faulty"},)");
}

} // namespace

crowd_story::crowd_story(std::uint16_t first_port, const crowd_limits& limits)
    : m_first_port{first_port}
    , m_limits{limits}
    , m_faulty{m_io,
               {asio::ip::make_address(address),
                static_cast<std::uint16_t>(first_port + faulty_offset)}}
{
    start_worker(m_worker, "plain", static_cast<std::uint16_t>(first_port + 6));
    start_worker(m_engine, "engine", static_cast<std::uint16_t>(first_port + 7));
    // Streams without stages, so that the crowds need no stage workers.
    const std::string stream =
        R"({"name":"flow","host":"a.example","prefix":"/resume/flow/",)"
        R"("routeType":"streaming","streamResume":true,"timeoutMs":20000,)"
        R"("targetLatencyMs":1000,"service":"engine","maxAttempts":1,"gapAimMs":300})";
    const std::string odd =
        R"({"name":"odd","host":"a.example","prefix":"/odd/",)"
        R"("routeType":"non_idempotent","timeoutMs":20000,"targetLatencyMs":300,)"
        R"("service":"faulty","maxAttempts":1})";
    register_faulty();
    const std::string routes = sample_routes() + ',' + stream + ',' + odd;
    m_store.put("op", "config",
                with_services(with_limits(sample_configuration(routes, 1), limits)));
    m_store_server = std::make_unique<http_server>(
        m_io.get_executor(), tcp::endpoint{asio::ip::make_address(address), first_port},
        http_limits{},
        [this](http_exchange& exchange)
        {
            return m_store.serve(exchange);
        });
    m_store_server->start();
    m_thread = std::thread{[this]
                           {
                               m_io.run();
                           }};
    m_host.start("geraniumdoor_edge", settings_for(first_port, limits));
    constexpr int attempts = 200;
    for (int attempt = 0; attempt < attempts && send_ordinary() != 200; ++attempt)
    {
        std::this_thread::sleep_for(100ms);
    }
    m_host.mark_rest();
}

crowd_story::~crowd_story()
{
    m_callers.clear();
    m_work.reset();
    m_io.stop();
    m_thread.join();
}

void crowd_story::start_worker(worker_standin& worker, const std::string& service,
                               std::uint16_t port)
{
    worker.m_id = "w-" + service;
    worker.m_service = service;
    worker.m_address = address;
    worker.m_port = port;
    worker.start(m_io.get_executor());
    m_store.put("servers", worker.m_id, registry_entry(worker, port));
}

void crowd_story::register_faulty()
{
    worker_standin entry;
    entry.m_id = "w-faulty";
    entry.m_service = "faulty";
    entry.m_address = address;
    const auto port = static_cast<std::uint16_t>(m_first_port + faulty_offset);
    m_store.put("servers", entry.m_id, registry_entry(entry, port));
}

tcp::endpoint crowd_story::place_of(edge_port port) const
{
    return {asio::ip::make_address(address),
            static_cast<std::uint16_t>(m_first_port + static_cast<std::uint16_t>(port))};
}

void crowd_story::begin(const crowd_plan& plan, edge_port port, const std::string& path)
{
    std::vector<std::string> texts;
    for (std::size_t caller = 0; caller < plan.m_callers; ++caller)
    {
        const std::string id = "c" + std::to_string(++m_requests);
        texts.push_back(bytes_of(sample_post(path + id, id, 60000), plan));
    }
    m_callers.begin(place_of(port), texts, plan.m_turn_bytes);
}

void crowd_story::send_bytes(const std::vector<std::string>& texts, edge_port port)
{
    constexpr std::size_t turn_bytes = std::size_t{64} * 1024;
    m_callers.begin(place_of(port), texts, turn_bytes);
}

unsigned crowd_story::send_ordinary()
{
    const std::string id = "o" + std::to_string(++m_requests);
    return send_alone(place_of(edge_port::callers), sample_get("/read/" + id, id, 15000),
                      2 * m_limits.m_body_bytes);
}

unsigned crowd_story::send_large()
{
    const std::string id = "l" + std::to_string(++m_requests);
    http_request request = sample_post("/read/" + id, id, 15000);
    request.m_body.assign(m_limits.m_body_bytes, 'a');
    return send_alone(place_of(edge_port::callers), std::move(request),
                      2 * m_limits.m_body_bytes);
}

unsigned crowd_story::ask_directory() const
{
    http_request request;
    request.m_target = "/resolve?name=a.example&region=r1&zone=z1";
    return send_alone(place_of(edge_port::directory), std::move(request),
                      m_limits.m_body_bytes);
}

unsigned crowd_story::ask_readiness() const
{
    http_request request;
    request.m_target = "/readyz";
    return send_alone(place_of(edge_port::readiness), std::move(request),
                      m_limits.m_body_bytes);
}

} // namespace geraniumdoor::test
