// Helpers for a fake fleet whose backend servers limit their requests or leave.
#pragma once

#include "fake/routed_fleet.h"
#include "standin/server_notice_rule.h"

#include <map>
#include <string>
#include <vector>

namespace radishford {

// A routed fleet that records what the rules on request limits and leaving servers judge. What a server states is set for each start of it.
class LimitedFleet
{
public:
    explicit LimitedFleet(std::size_t instances, std::uint64_t seed = 11, const WorldSettings &settings = routedSettings())
        : fleet_(instances, seed, settings)
    {
        fleet_.notice_ = [this](std::size_t index) { return notices_[fleet_.backendIdOf(index).value()]; };
        fleet_.effectObserver_ = [this](std::size_t index, const Effect &effect) { observe(index, effect); };
        for (FakeInstance &instance : fleet_.instances_) {
            instance.slots_ = 12;
            instance.serviceTime_ = Millis(50);
        }
        startRoutedFleet(fleet_);
    }

    // Makes the current start of a backend server state this limit; none when it is negative.
    void setLimit(std::size_t index, double limit)
    {
        BackendNotice &notice = notices_[fleet_.backendIdOf(index).value()];
        notice.limit_ = limit < 0 ? std::nullopt : std::optional(RequestRate(limit));
        recordNotice(index);
    }

    // Makes the current start of a backend server state that it leaves.
    void setLeaving(std::size_t index)
    {
        notices_[fleet_.backendIdOf(index).value()].isLeaving_ = true;
        recordNotice(index);
    }

    // Kills the daemon of an instance and starts it again after a time.
    void restart(std::size_t index, Millis away = Millis(300))
    {
        fleet_.kill(index);
        fleet_.runFor(away);
        fleet_.start(index);
        observation_.excuses_.push_back(ExcuseRecord{nameOf(index), fleet_.now()});
    }

    // Makes calls in turn through the daemons from `first` on, one in each interval; each second one may not be repeated. Returns their numbers.
    std::vector<std::size_t> callFor(Millis duration, Millis interval, std::size_t first = 0)
    {
        std::vector<std::size_t> numbers;
        const Millis end = fleet_.now() + duration;
        for (std::size_t number = 0; fleet_.now() < end; ++number) {
            const std::size_t index = first + number % (fleet_.size() - first);
            numbers.push_back(call(index, number % 2 == 0));
            fleet_.runFor(interval);
        }
        return numbers;
    }

    // Makes one call through a daemon. Returns its number.
    std::size_t call(std::size_t index, bool isIdempotent)
    {
        const std::string token = "q" + std::to_string(fleet_.calls_.size());
        const std::size_t number = fleet_.call(index, routedCall(token, isIdempotent));
        origins_[number] = Origin{nameOf(index), fleet_.now()};
        return number;
    }

    // Number of these calls with a response.
    [[nodiscard]] std::ptrdiff_t countAnswered(const std::vector<std::size_t> &numbers) const
    {
        return std::count_if(numbers.begin(), numbers.end(), [&](std::size_t number) { return fleet_.results_[number].responseToken_.has_value(); });
    }

    // Number of requests that a backend server has got since a time.
    [[nodiscard]] std::ptrdiff_t countHandOvers(std::size_t index, Millis since) const
    {
        const std::vector<Millis> &times = fleet_.instances_[index].handOverTimes_;
        return std::count_if(times.begin(), times.end(), [&](Millis time) { return time >= since; });
    }

    // The violations of the rules so far.
    [[nodiscard]] std::vector<std::string> violations() const
    {
        return ServerNoticeRule(observation_).violations();
    }

    FakeFleet fleet_;
    NoticeObservation observation_;

private:
    // Where and when a call was made.
    struct Origin {
        std::string machine_{};
        Millis at_{};
    };

    static std::string nameOf(std::size_t index)
    {
        return "m" + std::to_string(index);
    }

    void recordNotice(std::size_t index)
    {
        const std::string server = fleet_.backendIdOf(index).value();
        const BackendNotice &notice = notices_[server];
        const double limit = notice.limit_ ? notice.limit_->value() : 0;
        observation_.notices_.push_back(NoticeRecord{server, fleet_.now(), notice.limit_.has_value(), limit, notice.isLeaving_});
    }

    // Records requests that reach servers, and responses that are passed on.
    void observe(std::size_t index, const Effect &effect)
    {
        if (const auto *offer = std::get_if<StartExchange>(&effect)) {
            calls_[{index, offer->attempt_}] = offer->call_.value() - 1;
        } else if (const auto *handOver = std::get_if<HandOver>(&effect)) {
            const auto [client, attempt] = fleet_.attemptOf(index, handOver->exchange_);
            const std::size_t number = calls_[{client, attempt}];
            served_[{client, attempt}] = fleet_.backendIdOf(index).value();
            const Origin &origin = origins_[number];
            observation_.requests_.push_back(
                ArrivedRequest{fleet_.calls_[number].token_, origin.machine_, fleet_.backendIdOf(index).value(), origin.at_, fleet_.now()});
        } else if (const auto *relay = std::get_if<RelayResponse>(&effect)) {
            const std::string &server = served_[{index, relay->attempt_}];
            const BackendNotice &notice = notices_[server];
            observation_.responses_.push_back(PassedOnResponse{nameOf(index), server, fleet_.now(), notice.limit_.has_value(), notice.isLeaving_});
        }
    }

    // By the id of the server's start.
    std::map<std::string, BackendNotice> notices_;
    std::map<std::size_t, Origin> origins_;
    // The call of each attempt, and the server that got it.
    std::map<std::pair<std::size_t, AttemptId>, std::size_t> calls_;
    std::map<std::pair<std::size_t, AttemptId>, std::string> served_;
};

} // namespace radishford
