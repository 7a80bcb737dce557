#pragma once

#include "auth/keyring.h"

#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace fescuecleat {

/** The keyring in force; replaced as a whole when the configuration changes. Thread-safe. */
class IdentitySource {
public:
    explicit IdentitySource(Keyring keyring)
        : keyring_(std::make_shared<const Keyring>(std::move(keyring)))
    {
    }

    Identity identify(const HttpHeaders& headers) const
    {
        std::shared_ptr<const Keyring> keyring;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            keyring = keyring_;
        }
        return keyring->identify(bearerKey(headers));
    }

    void replace(Keyring keyring)
    {
        auto next = std::make_shared<const Keyring>(std::move(keyring));
        const std::lock_guard<std::mutex> lock(mutex_);
        keyring_ = std::move(next);
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const Keyring> keyring_;
};

}
