// What callers and backend servers of a process soak see of each request, and moments at which its driver acts.
#pragma once

#include "core/random.h"
#include "standin/lost_rule.h"
#include "standin/server_notice_rule.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace radishford {

// Seeded choices.
class SoakRandom
{
public:
    explicit SoakRandom(std::uint64_t seed)
        : random_(seed)
    {
    }

    // True with a chance in percent.
    bool chance(std::uint64_t percent)
    {
        return random_.uniformBelow(100) < percent;
    }

    // A number between two bounds, which are included.
    std::uint64_t between(std::uint64_t low, std::uint64_t high)
    {
        return low + random_.uniformBelow(high - low + 1);
    }

    Millis millisBetween(std::uint64_t low, std::uint64_t high)
    {
        return Millis(static_cast<std::int64_t>(between(low, high)));
    }

private:
    Random random_;
};

// Moments of a request at which the driver may act on its daemon.
enum class Moment : std::uint8_t {
    LastByteSent, // The caller has written the last byte of the request.
    ServerResponds, // The backend server has ended its work and writes the first byte of its response.
    ResponseArrives, // The head of the response has arrived at the caller.
};
constexpr std::uint64_t MomentCount = 3;

// One request: what the rule on lost requests judges, and what other rules need.
struct Observation {
    ObservedRequest request_{};
    // When its first byte was sent.
    Millis startedAt_{};
    bool isSafe_ = false;
    // Number of runs on backend servers.
    int runs_ = 0;
    // Status of the response; zero when there is none.
    unsigned status_ = 0;
    // What was drawn about the request.
    std::string plan_{};
    // True when a success has no signature, or belongs to another request.
    bool isForeignAnswer_ = false;
};

// All requests of a soak by their ids.
class SoakLedger
{
public:
    using Action = std::function<void()>;

    // Adds a request. The reference stays valid.
    Observation &add(const std::string &id)
    {
        Observation &observation = observations_[id];
        observation.request_.id_ = id;
        return observation;
    }

    // Returns nullptr for an unknown id.
    Observation *find(const std::string &id)
    {
        const auto found = observations_.find(id);
        return found == observations_.end() ? nullptr : &found->second;
    }

    // Runs an action at the next such moment of a request at the daemon. Replaces an action that still waits for it.
    void setAction(const std::string &daemon, Moment moment, Action action)
    {
        actions_[{daemon, moment}] = std::move(action);
    }

    // Tells that such a moment has come.
    void notify(const std::string &daemon, Moment moment)
    {
        auto found = actions_.extract({daemon, moment});
        if (!found.empty()) {
            found.mapped()();
        }
    }

    // Records for the rules on request limits and leaving servers.
    NoticeObservation notices_;

    // The requests in the form that the rule on lost requests takes.
    [[nodiscard]] std::vector<ObservedRequest> requests() const
    {
        std::vector<ObservedRequest> requests;
        for (const auto &[id, observation] : observations_) {
            requests.push_back(observation.request_);
        }
        return requests;
    }

    // The ids of the requests that a predicate selects.
    template<typename Predicate>
    [[nodiscard]] std::vector<std::string> select(Predicate isSelected) const
    {
        std::vector<std::string> ids;
        for (const auto &[id, observation] : observations_) {
            if (isSelected(observation)) {
                ids.push_back(id);
            }
        }
        return ids;
    }

private:
    std::map<std::string, Observation> observations_;
    std::map<std::pair<std::string, Moment>, Action> actions_;
};

} // namespace radishford
