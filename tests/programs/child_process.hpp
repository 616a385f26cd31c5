#pragma once

#include <chrono>
#include <csignal>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace geraniumdoor::test
{

/// A program that a test has started. Killed when the object goes.
class child_process
{
public:
    child_process() = default;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    ~child_process()
    {
        if (running())
        {
            send(SIGKILL);
            ::waitpid(m_process, nullptr, 0);
        }
    }

    /// Starts a program whose output is appended to the log. Returns whether it runs.
    /// @param held signals that the program has to let through itself
    bool start(const std::vector<std::string>& words, const std::string& log,
               const std::vector<int>& held = {})
    {
        sigset_t mask;
        sigemptyset(&mask);
        for (const int signal : held)
        {
            sigaddset(&mask, signal);
        }
        posix_spawnattr_t attributes;
        ::posix_spawnattr_init(&attributes);
        ::posix_spawnattr_setsigmask(&attributes, &mask);
        ::posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
        posix_spawn_file_actions_t files;
        ::posix_spawn_file_actions_init(&files);
        ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                           O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
        std::vector<char*> arguments;
        for (const std::string& word : words)
        {
            arguments.push_back(const_cast<char*>(word.c_str()));
        }
        arguments.push_back(nullptr);
        const int error = ::posix_spawn(&m_process, arguments[0], &files, &attributes,
                                        arguments.data(), environ);
        ::posix_spawnattr_destroy(&attributes);
        ::posix_spawn_file_actions_destroy(&files);
        m_process = error == 0 ? m_process : 0;
        return error == 0;
    }

    bool running() const
    {
        return m_process > 0;
    }

    pid_t id() const
    {
        return m_process;
    }

    void send(int signal) const
    {
        if (running())
        {
            ::kill(m_process, signal);
        }
    }

    /// Exit code, or the signal that ended it as a negative number; empty while it runs.
    std::optional<int> take_end()
    {
        int status = 0;
        if (!running() || ::waitpid(m_process, &status, WNOHANG) != m_process)
        {
            return std::nullopt;
        }
        m_process = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }

    /// Sends a signal again and again until the process has ended, for a time at most.
    /// Returns as take_end does.
    std::optional<int> send_until_end(int signal, std::chrono::milliseconds limit)
    {
        constexpr std::chrono::microseconds pause{100};
        std::optional<int> code;
        const auto last = std::chrono::steady_clock::now() + limit;
        while (!code && std::chrono::steady_clock::now() < last)
        {
            send(signal);
            std::this_thread::sleep_for(pause);
            code = take_end();
        }
        return code;
    }

private:
    pid_t m_process = 0;
};

} // namespace geraniumdoor::test
