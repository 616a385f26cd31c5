#pragma once

#include "edge_cluster.hpp"
#include "stopping_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <charconv>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

namespace geraniumdoor::test
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using tcp = asio::ip::tcp;

inline const char* const pay_route =
    R"({"name":"pay","host":"a.example","prefix":"/pay/","routeType":"non_idempotent",)"
    R"("timeoutMs":2000,"targetLatencyMs":300,"service":"plain","maxAttempts":1})";
inline const char* const read_route =
    R"({"name":"read","host":"a.example","prefix":"/read/","routeType":"idempotent",)"
    R"("timeoutMs":2000,"targetLatencyMs":300,"service":"plain","maxAttempts":2})";
inline const char* const resume_route =
    R"({"name":"resume","host":"a.example","prefix":"/resume/","routeType":"streaming",)"
    R"("timeoutMs":3000,"targetLatencyMs":1000,"service":"engine","maxAttempts":2,)"
    R"("streamResume":true,"gapAimMs":300})";

/// What a caller has read until the host closed the connection.
struct received_answer
{
    unsigned m_status = 0;
    std::string m_body;
    /// The body is as long as its framing says.
    bool m_is_whole = false;
};

/// Decodes chunks as far as they go.
inline void decode_chunks(std::string_view bytes, received_answer& answer)
{
    while (true)
    {
        const auto line = bytes.find("\r\n");
        std::size_t size = 0;
        if (line == std::string_view::npos ||
            std::from_chars(bytes.data(), bytes.data() + line, size, 16).ec !=
                std::errc{})
        {
            return;
        }
        bytes.remove_prefix(line + 2);
        if (size == 0)
        {
            answer.m_is_whole = bytes == "\r\n";
            return;
        }
        answer.m_body += bytes.substr(0, size);
        if (bytes.size() < size + 2)
        {
            return;
        }
        bytes.remove_prefix(size + 2);
    }
}

inline received_answer parse_answer(std::string_view bytes)
{
    received_answer answer;
    const auto head_end = bytes.find("\r\n\r\n");
    if (head_end == std::string_view::npos)
    {
        return answer;
    }
    const std::string head{bytes.substr(0, head_end + 2)};
    const std::string_view body = bytes.substr(head_end + 4);
    answer.m_status = static_cast<unsigned>(std::stoul(head.substr(9, 3)));
    const auto length = head.find("Content-Length: ");
    if (length != std::string::npos)
    {
        answer.m_body = body;
        answer.m_is_whole = body.size() == std::stoul(head.substr(length + 16));
    }
    else if (head.find("Transfer-Encoding: chunked") != std::string::npos)
    {
        decode_chunks(body, answer);
    }
    return answer;
}

/// One host with two upstreams whose answers are bytes of the test.
struct stopped_story
{
    explicit stopped_story(std::uint16_t first_port) : m_cluster{first_port, 1}
    {
        for (const char* pool : {"plain", "engine"})
        {
            add_upstream(first_port, pool, m_first);
            add_upstream(first_port, pool, m_second);
        }
        m_cluster.set_config(
            std::string{pay_route} + ',' + read_route + ',' + resume_route, 1);
        m_cluster.start();
    }

    void add_upstream(std::uint16_t first_port, const std::string& pool,
                      stopping_server::handler& answer)
    {
        worker_standin row;
        row.m_id = pool + std::to_string(m_servers.size());
        row.m_service = pool;
        const auto port = static_cast<std::uint16_t>(first_port + 30 +
                                                     static_cast<int>(m_servers.size()));
        m_servers.push_back(std::make_unique<stopping_server>(
            m_cluster.m_io.get_executor(),
            tcp::endpoint{asio::ip::make_address("127.0.0.1"), port},
            [this, &answer](const http_request& request)
            {
                m_last = find_field(request.m_fields, "Target-Instance");
                ++m_sent;
                return answer(request);
            }));
        m_cluster.m_store.put("servers", row.m_id, registry_entry(row, port));
    }

    asio::awaitable<void> talk(std::string request)
    {
        constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
        tcp::socket socket{m_cluster.m_io};
        co_await socket.async_connect(m_cluster.caller_endpoint(0), use_tuple);
        co_await asio::async_write(socket, asio::buffer(request), use_tuple);
        std::string bytes;
        co_await asio::async_read(socket, asio::dynamic_buffer(bytes), use_tuple);
        m_received = std::move(bytes);
    }

    /// Sends a request and returns what arrives until the host closes.
    received_answer send(const std::string& target, bool is_stream)
    {
        const std::string id = "r" + std::to_string(++m_last_id);
        // Requests that were alike would be suspected of crashing the upstreams.
        std::string request = (is_stream ? "POST " : "GET ") + target + id +
                              " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                              "Credential: key\r\nDeadline-Ms: 1500\r\nAttempt-Id: " +
                              id + "\r\n";
        request += is_stream ? "Model: m\r\nToken-Usage: 100,20\r\nPrompt-Prefix: " + id +
                                   ":100\r\nContent-Length: 0\r\n\r\n"
                             : "\r\n";
        m_received.reset();
        m_sent = 0;
        asio::co_spawn(m_cluster.m_io, talk(request), asio::detached);
        const time_point last = std::chrono::steady_clock::now() + 4s;
        while (!m_received && std::chrono::steady_clock::now() < last)
        {
            m_cluster.run_for(2ms);
        }
        cr_expect(m_received.has_value(), "the host closes in time");
        cr_expect(m_sent > 0, "%s: an upstream gets the request", id.c_str());
        return parse_answer(m_received.value_or(std::string{}));
    }

    stopping_server::handler m_first;
    stopping_server::handler m_second;
    edge_cluster m_cluster;
    std::vector<std::unique_ptr<stopping_server>> m_servers;
    std::optional<std::string> m_received;
    std::string m_last;
    int m_sent = 0;
    int m_last_id = 0;
};

enum class framing : std::uint8_t
{
    length,
    chunks,
    connection_end,
};

inline std::string signed_head(const http_request& request, const std::string& status,
                               const std::string& fields)
{
    return "HTTP/1.1 " + status +
           "\r\nAttempt-Id: " + std::string{find_field(request.m_fields, "Attempt-Id")} +
           "\r\nResponse-Signature: s\r\n" + fields + "\r\n";
}

inline std::string framed(const http_request& request, const std::string& status,
                          const std::string& type, framing framed_by,
                          const std::string& body)
{
    const std::string content = "Content-Type: " + type + "\r\n";
    switch (framed_by)
    {
    case framing::length:
        return signed_head(request, status,
                           content + "Content-Length: " + std::to_string(body.size()) +
                               "\r\n") +
               body;
    case framing::chunks:
    {
        std::string size(8, '0');
        const auto end =
            std::to_chars(size.data(), size.data() + size.size(), body.size(), 16);
        size.resize(static_cast<std::size_t>(end.ptr - size.data()));
        return signed_head(request, status, content + "Transfer-Encoding: chunked\r\n") +
               size + "\r\n" + body + "\r\n0\r\n\r\n";
    }
    case framing::connection_end:
        return signed_head(request, status, content) + body;
    }
    return {};
}

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

} // namespace geraniumdoor::test
