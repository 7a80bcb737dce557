#pragma once

#include <memory>
#include <utility>

namespace fescuecleat {

/** Member of an object whose callbacks must not run once the object is gone. */
class Lifetime {
public:
    Lifetime() = default;
    Lifetime(const Lifetime&) = delete;
    Lifetime& operator=(const Lifetime&) = delete;

    /** The callback as long as the owner lives, nothing afterwards. */
    template <typename Function>
    auto guard(Function function) const
    {
        return [alive = std::weak_ptr<bool>(alive_), function = std::move(function)](auto&&... arguments) mutable {
            if (alive.lock())
                function(std::forward<decltype(arguments)>(arguments)...);
        };
    }

private:
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
