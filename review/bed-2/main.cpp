// Stand-ins and cases of the second review; names of the wire are in the included files.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "common.inc"

#include "http.inc"

#include "platform.inc"

#include "minion.inc"

#include "bed.inc"

#include "cases.inc"

int main(int argc, char** argv)
{
    return runBed(std::vector<std::string>(argv + 1, argv + argc));
}
