#pragma once

namespace fescuecleat {

/** Builds a visitor for std::visit out of lambdas. */
template <typename... Functions>
struct Overloaded : Functions... {
    using Functions::operator()...;
};

template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}
