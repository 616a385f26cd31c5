#pragma once

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include <sys/wait.h>
#include <unistd.h>

/// What a program printed, and its exit code.
struct program_end
{
    int m_code = -1;
    /// Standard output and standard error.
    std::string m_text;

    bool says(const std::string& part) const
    {
        return m_text.find(part) != std::string::npos;
    }
};

/// Runs a built program of the directory that ctest names, and waits for its end.
inline program_end run_program(const std::string& command)
{
    const char* directory = std::getenv("GD_PROGRAMS");
    const std::string place = directory != nullptr ? directory : "build/check";
    std::FILE* pipe = popen((place + '/' + command + " 2>&1").c_str(), "r");
    program_end end;
    char part[4096];
    for (std::size_t size = 1; pipe != nullptr && size > 0;)
    {
        size = std::fread(part, 1, sizeof part, pipe);
        end.m_text.append(part, size);
    }
    const int status = pipe != nullptr ? pclose(pipe) : -1;
    end.m_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return end;
}

/// A file that is deleted at the end of the test.
class scratch_file
{
public:
    scratch_file(const std::string& name, const std::string& text)
        : m_path{"/tmp/geraniumdoor-test-" + std::to_string(getpid()) + '-' + name}
    {
        std::ofstream{m_path} << text;
    }

    ~scratch_file()
    {
        std::remove(m_path.c_str());
    }

    scratch_file(const scratch_file&) = delete;
    scratch_file& operator=(const scratch_file&) = delete;

    const std::string& path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};
