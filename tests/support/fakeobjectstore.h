#pragma once

#include "platform/objectstore.h"

#include <map>
#include <mutex>

namespace fescuecleat {

/** In-memory object store that can be set unavailable, for tests. */
class FakeObjectStore : public ObjectStore {
public:
    void setDown(bool isDown) { isDown_ = isDown; }
    std::map<std::string, std::string>& objects() { return objects_; }

    Result<void> put(const std::string& name, const std::string& content, Time) override
    {
        if (isDown_)
            return unavailable();
        objects_[name] = content;
        return {};
    }

    Result<std::string> get(const std::string& name, Time) override
    {
        if (isDown_)
            return unavailable();
        const auto at = objects_.find(name);
        if (at == objects_.end())
            return failure(ErrorKind::NotFound, "no such object", "check the name");
        return at->second;
    }

    Result<void> remove(const std::string& name, Time) override
    {
        if (isDown_)
            return unavailable();
        objects_.erase(name);
        return {};
    }

    Result<std::vector<std::string>> list(const std::string& prefix, Time) override
    {
        if (isDown_)
            return unavailable();
        std::vector<std::string> names;
        for (const auto& object : objects_) {
            if (object.first.compare(0, prefix.size(), prefix) == 0)
                names.push_back(object.first);
        }
        return names;
    }

private:
    static tl::unexpected<Error> unavailable() { return failure(ErrorKind::Unavailable, "the object store is down", "call setDown(false)"); }

    bool isDown_ = false;
    std::map<std::string, std::string> objects_;
};

}
