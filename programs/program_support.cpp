#include "program_support.hpp"

#include <glog/logging.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace geraniumdoor
{

std::variant<std::string, file_error> read_text_file(const std::string& path,
                                                     std::size_t max_bytes)
{
    std::ifstream file{path, std::ios::binary};
    if (!file)
    {
        return file_error{path + ": " + std::strerror(errno)};
    }
    std::ostringstream text;
    text << file.rdbuf();
    if (text.str().size() > max_bytes)
    {
        return file_error{path + ": larger than " + std::to_string(max_bytes) + " bytes"};
    }
    return text.str();
}

void start_logging(const char* program, const std::string& directory, bool to_stderr)
{
    FLAGS_logtostderr = directory.empty();
    FLAGS_alsologtostderr = to_stderr;
    FLAGS_log_prefix = true;
    FLAGS_logbuflevel = -1;
    if (!directory.empty())
    {
        FLAGS_log_dir = directory;
    }
    google::InitGoogleLogging(program);
}

} // namespace geraniumdoor
