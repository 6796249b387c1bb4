#pragma once

#include "basilpoint/Support/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <ostream>

namespace basilpoint::test {

/// How a partition shows to the process that it cuts off.
enum class CutKind {
    /// Nothing arrives any more, and connection attempts get no answer.
    Silent,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    RefuseNew,
};

std::ostream& operator<<(std::ostream&, CutKind);

/// A TCP path between one process and a target that can be cut.
class FakeLink {
public:
    FakeLink(boost::asio::io_context&, Endpoint to);

    FakeLink(const FakeLink&) = delete;
    FakeLink& operator=(const FakeLink&) = delete;

    /// Address at which the process finds the target.
    Endpoint endpoint() const;

    void cut(CutKind);
    void heal();
    /// Closes everything for good.
    void stop();

    /// Connections that were established since the link was made.
    unsigned connections() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace basilpoint::test
