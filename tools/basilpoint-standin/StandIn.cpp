#include "StandIn.h"

#include "basilpoint/Net/FiberAwait.h"
#include "basilpoint/Support/Error.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace basilpoint::standin {

using Json = nlohmann::json;

void sleepFor(boost::asio::io_context& io, Milliseconds delay)
{
    boost::asio::steady_timer timer(io, delay);
    awaitIo([&](auto handler) { timer.async_wait(std::move(handler)); });
}

void sendJson(ResponseWriter& writer, const Json& json)
{
    writer.send({ 200, { { "content-type", "application/json" } }, json.dump(-1, ' ', false, Json::error_handler_t::replace) });
}

HttpServer::Handler withTypedErrors(HttpServer::Handler handler)
{
    return [handler = std::move(handler)](const HttpRequest& request, ResponseWriter& writer) {
        try {
            handler(request, writer);
        } catch (const Json::exception& error) {
            throw InvalidInputError("body", error.what(), "a request that this stand-in knows");
        }
    };
}

} // namespace basilpoint::standin
