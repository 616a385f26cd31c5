#include "entry_story.hpp"

#include <chrono>
#include <thread>

namespace geraniumdoor::test
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

namespace
{

constexpr const char* address = "127.21.0.2";

std::string settings_for(int first_port)
{
    const auto endpoint = [first_port](int offset)
    {
        return '"' + std::string{address} + ':' + std::to_string(first_port + offset) +
               '"';
    };
    const auto listener = [&endpoint](entry_port port)
    {
        return endpoint(static_cast<int>(port));
    };
    return R"({"node": "entry-1", "data_centre": "a", "region": "r",
  "caller_address": )" +
           listener(entry_port::callers) + R"(, "admin_address": )" +
           listener(entry_port::admin) + R"(, "peer_address": )" +
           listener(entry_port::peers) + R"(, "table_service": )" + endpoint(9) +
           R"(, "host_list": )" + endpoint(9) + R"(,
  "memory_mb": )" +
           std::to_string(entry_story::memory_mb) + R"(, "open_files": )" +
           std::to_string(entry_story::open_files) + R"(,
  "http": {"header_bytes": )" +
           std::to_string(entry_story::header_limit) + R"(, "body_bytes": )" +
           std::to_string(entry_story::body_limit) + "}}";
}

http_request pipeline_request()
{
    http_request request;
    request.m_method = "POST";
    request.m_target = "/v1/pipelines/advice";
    request.m_fields = {{"Host", "a.example"}, {"X-Workspace", "w"}};
    return request;
}

} // namespace

entry_story::entry_story(std::uint16_t first_port) : m_first_port{first_port}
{
    m_host.start("geraniumdoord", settings_for(first_port));
    constexpr int attempts = 200;
    for (int attempt = 0; attempt < attempts && send_ordinary() != 200; ++attempt)
    {
        std::this_thread::sleep_for(100ms);
    }
    m_host.mark_rest();
}

tcp::endpoint entry_story::place_of(entry_port port) const
{
    return {asio::ip::make_address(address),
            static_cast<std::uint16_t>(m_first_port + static_cast<std::uint16_t>(port))};
}

void entry_story::begin(const crowd_plan& plan, entry_port port)
{
    const std::vector<std::string> texts(plan.m_callers,
                                         bytes_of(pipeline_request(), plan));
    m_callers.begin(place_of(port), texts, plan.m_turn_bytes);
}

void entry_story::send_bytes(const std::vector<std::string>& texts, entry_port port)
{
    constexpr std::size_t turn_bytes = std::size_t{64} * 1024;
    m_callers.begin(place_of(port), texts, turn_bytes);
}

unsigned entry_story::send_ordinary() const
{
    http_request request;
    request.m_target = "/v1/addresses";
    return send_alone(place_of(entry_port::callers), std::move(request), body_limit);
}

unsigned entry_story::send_large() const
{
    http_request request = pipeline_request();
    request.m_body = R"({"input":")" + std::string(body_limit - 100, 'a') + "\"}";
    return send_alone(place_of(entry_port::callers), std::move(request), body_limit);
}

unsigned entry_story::ask_health() const
{
    http_request request;
    request.m_target = "/healthz";
    return send_alone(place_of(entry_port::admin), std::move(request), body_limit);
}

} // namespace geraniumdoor::test
