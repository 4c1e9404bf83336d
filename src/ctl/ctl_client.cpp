// HTTP client of radishfordctl.
#include "ctl/ctl_client.h"

#include "core/error.h"
#include "wire/json_reader.h"
#include "wire/store_json.h"
#include "wire/ticket_json.h"

namespace radishford {

namespace json = boost::json;

namespace {

// Time limit for one page of a daemon or one read of the store.
constexpr std::chrono::milliseconds PageTimeout(2000);
// Longer than a daemon needs to determine the outcome of a submission.
constexpr std::chrono::milliseconds SubmitTimeout(10000);
// Number of daemons to which a submission is sent, one after another.
constexpr std::size_t MaxSubmitDaemons = 3;

// Requests a page from one daemon. The result is left unchanged when there is no response.
Task<> requestPage(asio::io_context &context, Address address, std::string target, DaemonResponse &daemonResponse)
{
    const std::optional<HttpResponse> response = co_await sendHttpRequest(context, address, makeRequest(http::verb::get, target), PageTimeout);
    if (response) {
        daemonResponse.body_ = parseJson(response->body(), target);
        daemonResponse.ok_ = true;
    }
}

// Returns a string field of a JSON object.
std::string textField(const json::value &row, const char *key)
{
    return std::string(row.at(key).as_string());
}

} // namespace

CtlClient::CtlClient(Address admin)
    : admin_(admin)
{
}

json::value CtlClient::get(const std::string &target)
{
    const std::optional<HttpResponse> response = sendRequest(admin_, makeRequest(http::verb::get, target), PageTimeout);
    if (!response) {
        throw Error(ResultCode::DaemonUnreachable, toText(admin_));
    }
    return parseJson(response->body(), target);
}

std::vector<DaemonResponse> CtlClient::getFromAllDaemons(const std::string &target)
{
    const json::value members = get("/members");
    std::vector<DaemonResponse> responses;
    std::vector<Address> addresses;
    for (const json::value &row : members.as_array()) {
        const std::string health = textField(row, "health");
        if (health == "alive" || health == "suspect") {
            responses.push_back(DaemonResponse{textField(row, "instance"), textField(row, "failure_domain"), false, {}});
            addresses.push_back(parseAddress(textField(row, "admin_address")));
        }
    }
    asio::io_context context(1);
    for (std::size_t index = 0; index < responses.size(); ++index) {
        asio::co_spawn(context, requestPage(context, addresses[index], target, responses[index]), asio::detached);
    }
    context.run();
    return responses;
}

json::value CtlClient::submit(const Ticket &ticket)
{
    const std::string body = json::serialize(toJson(ticket));
    for (const Address &daemon : submitAddresses()) {
        const std::optional<HttpResponse> response = sendRequest(daemon, makeRequest(http::verb::post, "/tickets", body), SubmitTimeout);
        if (response && response->result_int() != resultCodeInfo(ResultCode::TicketUnknown).httpStatus_) {
            return parseJson(response->body(), "daemon's response");
        }
    }
    throw Error(ResultCode::TicketUnknown, "submission " + ticket.submission_);
}

std::vector<Address> CtlClient::submitAddresses()
{
    std::vector<Address> addresses{admin_};
    const json::value members = get("/members");
    for (const json::value &row : members.as_array()) {
        const Address address = parseAddress(textField(row, "admin_address"));
        if (textField(row, "health") == "alive" && address != admin_ && addresses.size() < MaxSubmitDaemons) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::vector<Ticket> CtlClient::readTickets(Address store, TicketNumber from)
{
    const StoreOperation operation = TicketRead{from};
    const std::optional<HttpResponse> response
        = sendRequest(store, makeRequest(http::verb::post, "/table/transact", storeRequestToJson(operation)), PageTimeout);
    if (!response || response->result() != http::status::ok) {
        throw Error(ResultCode::StoreDown, toText(store));
    }
    return parseStoreResponse(operation, response->body()).tickets_;
}

std::optional<HttpResponse> CtlClient::sendRequest(const Address &address, HttpRequest request, std::chrono::milliseconds timeout)
{
    asio::io_context context(1);
    std::optional<HttpResponse> result;
    const auto run = [&]() -> Task<> { result = co_await sendHttpRequest(context, address, std::move(request), timeout); };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    return result;
}

} // namespace radishford
