#include "support/ports.h"

#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <random>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace fescuecleat::test {

namespace {

    bool isFreePort(unsigned short port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isFree = bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        close(descriptor);
        return isFree;
    }

    /** Reserves ports among all test processes of the user, by locks on byte ranges of a shared file. */
    class PortReservations {
    public:
        PortReservations()
            : path_(std::filesystem::temp_directory_path() / ("fescuecleat-test-ports-" + std::to_string(getuid())))
        {
        }

        /** Returns false if another caller has reserved one of the ports. */
        bool reserve(int firstPort, int count)
        {
            // Locks of an open file description, unlike those of a process, also exclude other callers in this process.
            const int descriptor = open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, S_IRUSR | S_IWUSR);
            if (descriptor < 0)
                throw std::system_error(errno, std::generic_category(), "can't open " + path_);
            struct flock range { };
            range.l_type = F_WRLCK;
            range.l_whence = SEEK_SET;
            range.l_start = firstPort;
            range.l_len = count;
            if (fcntl(descriptor, F_OFD_SETLK, &range) == 0)
                return true; // The descriptor stays open, as closing it would release the ports.
            const int error = errno;
            close(descriptor);
            if (error != EAGAIN && error != EACCES)
                throw std::system_error(error, std::generic_category(), "can't lock " + path_);
            return false;
        }

    private:
        std::string path_;
    };

}

unsigned short freePort(int count)
{
    constexpr int firstPort = 20000;
    constexpr int lastPort = 32000;
    constexpr int maxTries = 200;
    static PortReservations reservations;
    std::random_device random;
    std::uniform_int_distribution<int> ports(firstPort, lastPort - count);
    for (int attempt = 0; attempt < maxTries; ++attempt) {
        const int first = ports(random);
        int port = first;
        while (port < first + count && isFreePort(static_cast<unsigned short>(port)))
            ++port;
        if (port == first + count && reservations.reserve(first, count))
            return static_cast<unsigned short>(first);
    }
    throw std::runtime_error("no free ports on loopback");
}

Address freeAddress(int count)
{
    return { "127.0.0.1", freePort(count) };
}

}
