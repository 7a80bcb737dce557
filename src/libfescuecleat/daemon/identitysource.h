#pragma once

#include "auth/keyring.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace fescuecleat {

/** Holds the keyring in force, which is replaced as a whole when the configuration changes. Thread-safe. */
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

    /** False until a configuration is in force; until then the keys of organisations are not known. */
    bool isConfigured() const { return isConfigured_; }

    /** Puts the keys of a configuration in force. */
    void replace(Keyring keyring)
    {
        auto next = std::make_shared<const Keyring>(std::move(keyring));
        const std::lock_guard<std::mutex> lock(mutex_);
        keyring_ = std::move(next);
        isConfigured_ = true;
    }

private:
    std::atomic<bool> isConfigured_ { false };
    mutable std::mutex mutex_;
    std::shared_ptr<const Keyring> keyring_;
};

}
