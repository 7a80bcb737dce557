#include "standins/common/registration.h"

#include <chrono>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <exception>
#include <iostream>
#include <thread>

namespace fescuecleat::standins {

namespace {

    constexpr int mostAttempts = 50;
    constexpr auto retryInterval = std::chrono::milliseconds(200);
    constexpr int timeoutMilliseconds = 2000;
    constexpr int statusOk = 200;

    bool post(const Address& address, const std::string& body, std::string& failure)
    {
        try {
            cxxtools::http::Client client(address.ip_, address.port_);
            cxxtools::http::Request request("/instances");
            request.method("POST");
            request.body() << body;
            const cxxtools::Milliseconds timeout(timeoutMilliseconds);
            const int status = client.execute(request, timeout, timeout).httpReturnCode();
            failure = "status " + std::to_string(status);
            return status == statusOk;
        } catch (const std::exception& error) {
            failure = error.what();
            return false;
        }
    }

}

JsonValue listedInstance(const std::string& id, const std::string& role, const std::string& dataCentre, const Address& address, const std::string& group, bool isLeaving)
{
    JsonValue value = jsonObject();
    value.addMember("id") <<= id;
    value.addMember("role") <<= role;
    value.addMember("data_centre") <<= dataCentre;
    value.addMember("address") <<= address.ip_ + ":" + std::to_string(address.port_);
    value.addMember("group") <<= group;
    value.addMember("leaving") <<= isLeaving;
    return value;
}

bool registerInstances(const Address& platformFaultPort, const JsonValue& instances)
{
    JsonValue body = jsonObject();
    JsonValue& list = body.addMember("instances");
    list = instances;
    list.setName("instances");
    const std::string text = writeJson(body);
    std::string failure;
    for (int attempt = 0; attempt < mostAttempts; ++attempt) {
        if (post(platformFaultPort, text, failure))
            return true;
        std::this_thread::sleep_for(retryInterval);
    }
    std::cerr << "registration at the platform stand-in failed: " << failure << "\n";
    return false;
}

}
