#pragma once

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

/** Milliseconds of the steady clock since the start of the program. */
inline std::int64_t elapsedMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

/** What was sent, answered and run, one line each, with the time in seconds. */
class Record {
public:
    explicit Record(const std::string& path)
        : file_(std::fopen(path.c_str(), "w"))
    {
    }
    ~Record()
    {
        if (file_ != nullptr)
            std::fclose(file_);
    }
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;

    __attribute__((format(printf, 2, 3))) void write(const char* format, ...)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (file_ == nullptr)
            return;
        std::fprintf(file_, "%8.3f  ", static_cast<double>(elapsedMs()) / 1000);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
};

}
