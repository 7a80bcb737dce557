#include "standins/common/registration.h"

#include "http/cxxtoolshttpclient.h"

#include <iostream>
#include <thread>

namespace fescuecleat::standins {

namespace {

    constexpr Duration registrationTimeout = std::chrono::seconds(10);
    constexpr Duration retryInterval = std::chrono::milliseconds(200);
    constexpr int statusOk = 200;

    HttpRequest registrationRequest(const JsonValue& instances)
    {
        JsonValue body = jsonObject();
        JsonValue& list = body.addMember("instances");
        list = instances;
        list.setName("instances");
        HttpRequest request;
        request.method_ = "POST";
        request.path_ = "/instances";
        request.body_ = writeJson(body);
        return request;
    }

}

JsonValue instanceEntry(const std::string& id, const std::string& role, const std::string& dataCentre, const Address& address, const std::string& group, bool isLeaving)
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
    const HttpRequest request = registrationRequest(instances);
    const Time deadline = monotonicNow() + registrationTimeout;
    CxxtoolsHttpClient client;
    while (monotonicNow() < deadline) {
        const auto response = client.send(platformFaultPort, request, deadline, false);
        if (response && response->status_ == statusOk)
            return true;
        std::this_thread::sleep_for(retryInterval);
    }
    std::cerr << "can't register at the platform stand-in; check that it runs at the address of its fault port\n";
    return false;
}

}
