// Process soak of planned work: starts daemons as processes, and does SIGTERM, SIGHUP and changes of the desired state in one seeded schedule
// while callers send requests. At the end the users' rule on lost requests is checked.
#include "net/http_client_server.h"
#include "standin/daemon_process.h"
#include "standin/row_store.h"
#include "standin/soak_caller.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <set>

namespace radishford {

namespace {

namespace options = boost::program_options;

// Ports of each machine.
constexpr std::uint16_t DaemonPort = 7401;
constexpr std::uint16_t CallerPort = 7402;
constexpr std::uint16_t AnnouncePort = 7403;
constexpr std::uint16_t AdminPort = 7404;
constexpr std::uint16_t BackendPort = 7410;
constexpr std::uint16_t StorePort = 7400;
// Last part of the address of the store; daemons have the parts from 1.
constexpr std::uint32_t StoreHost = 250;
// First network of the soaks, and their number.
constexpr std::uint32_t FirstNetwork = (127U << 24U) + (40U << 8U);
constexpr std::uint32_t NetworkCount = 200;
// From SIGTERM to SIGKILL.
constexpr Millis Grace{6000};
// Time between two looks at processes.
constexpr Millis PollInterval{10};
// Number of random sequences of the schedule; the callers' sequences follow.
constexpr std::uint64_t LoopCount = 3;
// Added to the seed for the sequence of what backend servers state.
constexpr std::uint64_t NoticeSeed = 1000003;
// Start of a log line about a request without a response, and its reason.
constexpr std::string_view UnansweredEvent = R"("event":"request_unanswered")";
constexpr std::string_view ReasonKey = R"("reason":")";
// Limit for the start of all daemons.
constexpr Millis StartTimeout{30000};
// After this time without a request, a signal that waits for one is sent.
constexpr Millis MomentTimeout{1000};

// Options of the command line.
struct SoakOptions {
    std::string program_{};
    std::uint64_t seed_ = 1;
    int daemons_ = 9;
    int connections_ = 6;
    int seconds_ = 25;
    // True when backend servers state limits, leave and start again.
    bool hasNotices_ = false;
    // True when logs are kept also without a violation.
    bool keepsLogs_ = false;
};

// A daemon of the fleet and what is done to it.
struct SoakDaemon {
    std::string name_{};
    Address callerAddress_{};
    std::unique_ptr<DaemonProcess> process_{};
    // True from SIGTERM to the restart.
    bool isStopping_ = false;
};

// The fleet, its callers and the schedule.
class Soak
{
public:
    explicit Soak(const SoakOptions &settings)
        : settings_(settings)
        , stopRandom_(settings.seed_ * LoopCount)
        , reloadRandom_(settings.seed_ * LoopCount + 1)
        , changeRandom_(settings.seed_ * LoopCount + 2)
        , noticeRandom_(settings.seed_ + NoticeSeed)
        , folder_(std::filesystem::temp_directory_path() / ("radishford-soak-" + std::to_string(settings.seed_) + "-" + std::to_string(getpid())))
        , store_(context_)
    {
        std::filesystem::create_directories(folder_);
        openStore();
        store_.write("op", "config", desiredState());
        for (int number = 1; number <= settings_.daemons_; ++number) {
            addDaemon(number);
        }
    }

    // Runs the schedule. Returns whether no rule was broken.
    bool run()
    {
        asio::co_spawn(context_, runSchedule(), asio::detached);
        context_.run();
        return report();
    }

private:
    using Action = SoakLedger::Action;

    Task<> sleep(Millis duration)
    {
        asio::steady_timer timer(context_, toChrono(duration));
        co_await timer.async_wait(asio::use_awaitable);
    }

    [[nodiscard]] Address address(std::uint32_t host, std::uint16_t port) const
    {
        return Address{network_ + host, port};
    }

    // Listens on the first free network from one that the process id selects.
    void openStore()
    {
        for (std::uint32_t tries = 0; !storeServer_; ++tries) {
            network_ = FirstNetwork + ((static_cast<std::uint32_t>(getpid()) + tries) % NetworkCount << 8U);
            try {
                const auto handle = [this](HttpRequest request) { return store_.handleRequest(std::move(request)); };
                storeServer_ = std::make_unique<HttpServer>(context_, address(StoreHost, StorePort), handle);
            } catch (const boost::system::system_error &) {
                if (tries == NetworkCount) {
                    throw;
                }
            }
        }
        storeServer_->start();
    }

    // Adds a machine with its backend server and its callers, and starts its daemon.
    void addDaemon(int number)
    {
        const auto host = static_cast<std::uint32_t>(number);
        daemons_.push_back(SoakDaemon{"d" + std::to_string(number), address(host, CallerPort)});
        startProcess(daemons_.back());
        const SoakServerOptions server{"i-" + std::to_string(number), serviceOf(number), address(host, BackendPort), address(host, AnnouncePort)};
        servers_.push_back(std::make_unique<SoakServer>(context_, ledger_, server));
        servers_.back()->start();
        const SoakDaemon &daemon = daemons_.back();
        callers_.push_back(std::make_unique<SoakCallers>(context_, ledger_, daemon.name_, daemon.callerAddress_, limits_, settings_.seed_ * 1000 + host));
    }

    static std::string serviceOf(int number)
    {
        return number % 3 == 0 ? "desk" : "booking";
    }

    void startProcess(SoakDaemon &daemon)
    {
        daemon.process_ = std::make_unique<DaemonProcess>(settings_.program_, settingsText(daemon));
        daemon.isStopping_ = false;
    }

    // Settings in the platform's format. Each call differs in the bounds, which take effect at a reload.
    std::string settingsText(const SoakDaemon &daemon)
    {
        const std::uint32_t host = daemon.callerAddress_.ip_ - network_;
        const auto text = [&](std::uint16_t port) { return "\"" + toText(address(host, port)) + "\""; };
        const std::string ip = toText(address(host, 0));
        return R"({"nodeName":")" + daemon.name_ + R"(","zone":"a","zones":{"a":"r"},"seeds":[)" + text(AnnouncePort) + R"(],"service":")"
            + serviceOf(static_cast<int>(host)) + R"(","heartbeatS":0.)" + std::to_string(3 + reloadRandom_.between(0, 4)) + R"(,"ip":")"
            + ip.substr(0, ip.find(':')) + R"(","portRange":[)" + std::to_string(DaemonPort) + "," + std::to_string(DaemonPort) + R"(],"appAddr":)"
            + text(BackendPort) + R"(,"listenAddrs":{"outbound":)" + text(CallerPort) + R"(,"control":)" + text(AnnouncePort) + R"(,"ready":)" + text(AdminPort)
            + R"(},"platform":{"address":")" + toText(address(StoreHost, StorePort)) + R"("},"bounds":["graceS=6","budgetWindowS=10","retryBudgetRatio=0.)"
            + std::to_string(2 + reloadRandom_.between(0, 2)) + R"(","retryBudgetSlack=)" + std::to_string(40 + reloadRandom_.between(0, 29))
            + R"(","probesPerS=20"]})";
    }

    // Draws a desired state: time limits, weights, an additional route and the idle limit.
    std::string desiredState()
    {
        const std::uint64_t timeoutTenths = changeRandom_.between(20, 40);
        const Millis idleTimeout = changeRandom_.millisBetween(1000, 5000);
        // Callers respect the strictest of the last states, since it is not known which one is active.
        pastTimeouts_.push_back(Millis(static_cast<std::int64_t>(timeoutTenths) * 100));
        pastIdleTimeouts_.push_back(idleTimeout);
        limits_.routeTimeout_ = minOfLast(pastTimeouts_);
        limits_.idleTimeout_ = minOfLast(pastIdleTimeouts_);
        const std::string timeout = std::to_string(timeoutTenths / 10) + "." + std::to_string(timeoutTenths % 10);
        const std::string weight = std::to_string(1 + changeRandom_.between(0, 8));
        const std::string split = R"([{"service":"booking","weight":10},{"service":"desk","weight":)" + weight + "}]";
        const auto row = [&](const std::string &name, const std::string &prefix, const std::string &type) {
            return R"([")" + name + R"(","desk.example",")" + prefix + R"(",")" + type + R"(",)" + timeout + ",0.5,"
                + std::to_string(changeRandom_.between(0, 2)) + R"(,"booking",2,)" + (changeRandom_.chance(50) ? split : "null") + "]";
        };
        const std::string additional = changeRandom_.chance(50) ? "," + row("x", "/x" + std::to_string(version_) + "/", "safe") : "";
        return R"({"version":"r)" + std::to_string(++version_)
            + R"(","routes":{"columns":["name","host","prefix","routeType","timeoutS","targetLatencyS","priority","service","maxAttempts","trafficSplit"],"rows":[)"
            + row("r", "/r/", "safe") + "," + row("w", "/w/", "unsafe") + "," + row("u", "/u/", "upload") + additional
            + R"(]},"services":{"columns":["name","healthPath"],"rows":[["booking","/health"],["desk","/health"]]},)"
            + R"("limits":{"maxHeaderBytes":8192,"maxBodyBytes":4000000,"headerTimeoutS":2,"idleTimeoutS":)" + std::to_string(idleTimeout.count() / 1000) + "."
            + std::to_string(idleTimeout.count() / 100 % 10) + "}}";
    }

    // The minimum of the last values of a list.
    static Millis minOfLast(const std::vector<Millis> &values)
    {
        constexpr std::size_t Count = 6;
        return *std::min_element(values.end() - static_cast<std::ptrdiff_t>(std::min(Count, values.size())), values.end());
    }

    Task<> runSchedule()
    {
        co_await awaitFleet();
        for (const auto &callers : callers_) {
            callers->start(settings_.connections_);
        }
        co_await sleep(Millis(1000));
        for (Task<> (Soak::*loop)() : {&Soak::stopRepeatedly, &Soak::reloadRepeatedly, &Soak::changeRepeatedly, &Soak::watchProcesses}) {
            asio::co_spawn(context_, (this->*loop)(), asio::detached);
        }
        for (std::size_t index = 0; settings_.hasNotices_ && index < servers_.size(); ++index) {
            asio::co_spawn(context_, changeNotices(*servers_[index], SoakRandom(noticeRandom_.between(0, NoticeSeed))), asio::detached);
        }
        co_await sleep(Millis(1000) * settings_.seconds_);
        isEnding_ = true;
        for (const auto &callers : callers_) {
            callers->stop();
        }
        const auto isBusy = [this]() {
            return std::any_of(daemons_.begin(), daemons_.end(), [](const SoakDaemon &daemon) { return daemon.isStopping_; })
                || std::any_of(callers_.begin(), callers_.end(), [](const auto &callers) { return !callers->hasEnded(); });
        };
        while (isBusy()) {
            co_await sleep(PollInterval);
        }
        for (SoakDaemon &daemon : daemons_) {
            keepLog(daemon);
        }
        context_.stop();
    }

    // Waits until all daemons are ready and have had the time to hear of each other.
    Task<> awaitFleet()
    {
        const Millis end = WorldRunner::now() + StartTimeout;
        for (const SoakDaemon &daemon : daemons_) {
            const Address admin{daemon.callerAddress_.ip_, AdminPort};
            std::optional<HttpResponse> response;
            while (!response || response->result_int() != 200) {
                if (WorldRunner::now() > end) {
                    throw std::runtime_error(daemon.name_ + " does not become ready");
                }
                co_await sleep(PollInterval);
                const HttpRequest request = makeRequest(http::verb::get, "/ready");
                response = co_await sendHttpRequest(context_, admin, request, std::chrono::milliseconds(500));
            }
        }
        co_await sleep(Millis(1500));
    }

    // Runs an action at once or at a moment of a request at the daemon, sometimes a few milliseconds after it.
    Task<> runAtMoment(SoakRandom &random, std::string daemon, Action action)
    {
        const auto isDone = std::make_shared<bool>(false);
        const auto once = [isDone, action]() {
            if (!std::exchange(*isDone, true)) {
                action();
            }
        };
        const std::uint64_t drawn = random.between(0, MomentCount);
        const Millis delay = random.chance(50) ? Millis() : Millis::fromMicros(static_cast<std::int64_t>(random.between(0, 3999)));
        if (drawn < MomentCount) {
            ledger_.setAction(daemon, static_cast<Moment>(drawn), [this, once, delay]() {
                if (delay == Millis()) {
                    once();
                } else {
                    asio::co_spawn(context_, runLater(once, delay), asio::detached);
                }
            });
            for (Millis waited; !*isDone && waited < MomentTimeout; waited = waited + PollInterval) {
                co_await sleep(PollInterval);
            }
        }
        once();
    }

    Task<> runLater(Action action, Millis delay)
    {
        co_await sleep(delay);
        action();
    }

    // Shortens a pause between signals in a fleet with more daemons than usual.
    [[nodiscard]] Millis paced(Millis pause) const
    {
        constexpr std::int64_t UsualDaemons = 9;
        return Millis::fromMicros(pause.micros() * UsualDaemons / settings_.daemons_);
    }

    // Stops daemons in series; at most a third of them is away at a time.
    Task<> stopRepeatedly()
    {
        for (std::size_t next = 0; !isEnding_; next = (next + 1) % daemons_.size()) {
            const auto away = std::count_if(daemons_.begin(), daemons_.end(), [](const SoakDaemon &daemon) { return daemon.isStopping_; });
            if (3 * away < static_cast<std::ptrdiff_t>(daemons_.size()) && !daemons_[next].isStopping_) {
                daemons_[next].isStopping_ = true;
                asio::co_spawn(context_, stopAndRestart(daemons_[next]), asio::detached);
            }
            co_await sleep(paced(stopRandom_.millisBetween(150, 600)));
        }
    }

    // Sends SIGTERM, and sometimes a second one or SIGHUP, waits for the end and starts the daemon again.
    Task<> stopAndRestart(SoakDaemon &daemon)
    {
        co_await runAtMoment(stopRandom_, daemon.name_, [&]() {
            disturbances_.push_back(DisturbanceRecord{daemon.name_, Disturbance::Terminated, WorldRunner::now()});
            daemon.process_->sendSignal(SIGTERM);
        });
        const Millis killAt = WorldRunner::now() + Grace;
        if (stopRandom_.chance(40)) {
            asio::co_spawn(context_, signalLater(daemon, SIGTERM, stopRandom_.millisBetween(0, 2500)), asio::detached);
        }
        if (stopRandom_.chance(30)) {
            asio::co_spawn(context_, signalLater(daemon, SIGHUP, stopRandom_.millisBetween(0, 2500)), asio::detached);
        }
        while (!daemon.process_->hasExited() && WorldRunner::now() < killAt) {
            co_await sleep(PollInterval);
        }
        const bool isOverdue = !daemon.process_->hasExited();
        if (isOverdue) {
            disturbances_.push_back(DisturbanceRecord{daemon.name_, Disturbance::Killed, WorldRunner::now()});
        }
        if (isOverdue || !daemon.process_->hasSucceeded()) {
            const std::string status = std::to_string(daemon.process_->status());
            violations_.push_back(daemon.name_ + (isOverdue ? " was killed at the end of its grace period" : " ended with status " + status));
        }
        keepLog(daemon);
        co_await sleep(stopRandom_.millisBetween(50, 400));
        startProcess(daemon);
        disturbances_.push_back(DisturbanceRecord{daemon.name_, Disturbance::Started, WorldRunner::now()});
    }

    Task<> signalLater(SoakDaemon &daemon, int number, Millis delay)
    {
        co_await sleep(delay);
        if (daemon.process_ && daemon.isStopping_) {
            co_await runAtMoment(stopRandom_, daemon.name_, [&]() { signalStopping(daemon, number); });
        }
    }

    // Sends a further signal to a daemon that shuts down.
    void signalStopping(SoakDaemon &daemon, int number)
    {
        if (daemon.process_ && daemon.isStopping_) {
            reload(daemon, number);
        }
    }

    // Changes the settings file and sends a signal; SIGHUP is recorded.
    void reload(SoakDaemon &daemon, int number)
    {
        if (number == SIGHUP) {
            daemon.process_->writeSettings(settingsText(daemon));
            disturbances_.push_back(DisturbanceRecord{daemon.name_, Disturbance::Reloaded, WorldRunner::now()});
        }
        daemon.process_->sendSignal(number);
    }

    Task<> reloadRepeatedly()
    {
        while (!isEnding_) {
            co_await sleep(paced(reloadRandom_.millisBetween(200, 1200)));
            SoakDaemon &daemon = daemons_[reloadRandom_.between(0, daemons_.size() - 1)];
            if (daemon.process_ && !daemon.isStopping_) {
                co_await runAtMoment(reloadRandom_, daemon.name_, [&]() {
                    if (daemon.process_) {
                        reload(daemon, SIGHUP);
                    }
                });
            }
        }
    }

    // Changes the desired state in bursts with calm times between them.
    Task<> changeRepeatedly()
    {
        while (!isEnding_) {
            for (int number = 0; number < 4 && !isEnding_; ++number) {
                co_await sleep(changeRandom_.millisBetween(100, 500));
                co_await runAtMoment(changeRandom_, daemons_[changeRandom_.between(0, daemons_.size() - 1)].name_, [this]() {
                    const Millis now = WorldRunner::now();
                    store_.write("op", "config", desiredState());
                    changes_.push_back(ChangeRecord{now, now});
                });
            }
            co_await sleep(changeRandom_.millisBetween(4000, 6000));
        }
    }

    // Lets a backend server state limits, leave, and go on as another server at its address.
    Task<> changeNotices(SoakServer &server, SoakRandom random)
    {
        co_await sleep(random.millisBetween(0, 4000));
        while (!isEnding_) {
            for (std::uint64_t left = random.between(0, 3); left > 0 && !isEnding_; --left) {
                server.setLimit(static_cast<double>(random.between(2, 50)) / 10);
                co_await sleep(random.millisBetween(1000, 6000));
            }
            if (random.chance(50)) {
                server.setLimit(-1);
                co_await sleep(random.millisBetween(500, 4000));
            }
            if (random.chance(50)) {
                server.setLeaving();
                co_await sleep(random.millisBetween(2500, 5000));
                server.startAnew();
                co_await sleep(random.millisBetween(500, 3000));
            }
        }
    }

    // Reports processes that end by themselves.
    Task<> watchProcesses()
    {
        while (!isEnding_) {
            for (SoakDaemon &daemon : daemons_) {
                if (!daemon.isStopping_ && daemon.process_->hasExited()) {
                    violations_.push_back(daemon.name_ + " ended without SIGTERM, with status " + std::to_string(daemon.process_->status()));
                    keepLog(daemon);
                    startProcess(daemon);
                    disturbances_.push_back(DisturbanceRecord{daemon.name_, Disturbance::Started, WorldRunner::now()});
                }
            }
            co_await sleep(PollInterval);
        }
    }

    // Ends the process, if it still runs, keeps its log, and counts the requests that it says are unanswered.
    void keepLog(SoakDaemon &daemon)
    {
        const std::string log = daemon.process_->log();
        std::ofstream(folder_ / (daemon.name_ + ".log"), std::ios::app) << log;
        daemon.process_.reset();
        for (std::size_t at = log.find(UnansweredEvent); at != std::string::npos; at = log.find(UnansweredEvent, at + 1)) {
            const std::size_t reason = log.find(ReasonKey, at) + ReasonKey.size();
            ++unanswered_[log.substr(reason, log.find('"', reason) - reason)];
        }
    }

    // Adds a violation with the ids of the requests that a predicate selects.
    template<typename Predicate>
    void judge(const std::string &text, Predicate isBroken)
    {
        const std::vector<std::string> ids = ledger_.select(isBroken);
        if (!ids.empty()) {
            std::string line = std::to_string(ids.size()) + " " + text + ":";
            for (const std::string &id : ids) {
                line += " " + id;
            }
            violations_.push_back(line);
        }
    }

    // Checks all rules, and prints what was seen. Returns whether no rule was broken.
    bool report()
    {
        const LostRule rule(LostRuleBounds{}, disturbances_, changes_);
        std::vector<ObservedRequest> requests = ledger_.requests();
        std::erase_if(requests, [](const ObservedRequest &request) { return request.endedAt_ == Millis::never(); });
        for (const std::string &text : rule.violations(requests)) {
            violations_.push_back(text);
        }
        for (const DisturbanceRecord &record : disturbances_) {
            if (record.kind_ == Disturbance::Started || record.kind_ == Disturbance::Killed) {
                ledger_.notices_.excuses_.push_back(ExcuseRecord{record.daemon_, record.at_});
            }
        }
        for (const std::string &text : ServerNoticeRule(ledger_.notices_).violations()) {
            violations_.push_back(text);
        }
        judge("unsafe requests ran twice", [](const Observation &row) { return !row.isSafe_ && row.runs_ > 1; });
        judge("unsafe requests ran and were refused", [](const Observation &row) {
            const std::set<unsigned> refusals{408, 421, 429, 503};
            return !row.isSafe_ && row.runs_ > 0 && refusals.contains(row.status_);
        });
        judge("requests got a success that is not theirs", [](const Observation &row) { return row.isForeignAnswer_; });
        std::array<int, 4> ends{};
        std::string kept;
        int stops = 0;
        for (const ObservedRequest &request : requests) {
            ++ends.at(static_cast<std::size_t>(request.end_));
            kept += rule.isLostOnKeptConnection(request) ? " " + request.id_ : "";
        }
        for (const DisturbanceRecord &record : disturbances_) {
            stops += record.kind_ == Disturbance::Terminated ? 1 : 0;
        }
        std::cout << "seed " << settings_.seed_ << ": " << requests.size() << " requests: " << ends[0] << " answered, " << ends[1] << " closed, " << ends[2]
                  << " left, " << ends[3] << " late; " << stops << " stops, " << disturbances_.size() - 2 * static_cast<std::size_t>(stops) << " reloads, "
                  << changes_.size() << " changes; lost on kept connections:" << (kept.empty() ? " none" : kept) << "; logged as unanswered:";
        for (const auto &[reason, count] : unanswered_) {
            std::cout << " " << reason << " " << count;
        }
        std::cout << "\n";
        for (const ObservedRequest &request : requests) {
            if (request.end_ == RequestEnd::Closed && request.isPassedOn_ && !request.serverBrokeOff_) {
                const Millis begin = request.sentAt_ == Millis::never() ? request.endedAt_ : request.sentAt_;
                std::cout << "closed " << request.id_ << ", " << (request.endedAt_ - begin).count() << " ms after the last byte, "
                          << (request.limitAt_ - request.endedAt_).count() << " ms before its limit: " << ledger_.find(request.id_)->plan_ << "\n";
            }
        }
        for (const std::string &text : violations_) {
            std::cout << "VIOLATION " << text << "\n";
        }
        if (violations_.empty() && !settings_.keepsLogs_) {
            std::filesystem::remove_all(folder_);
        } else {
            std::cout << "to explain a request: radishfordctl explain ID " << folder_.string() << "/*.log\n";
        }
        return violations_.empty();
    }

    SoakOptions settings_;
    // One sequence for each loop of the schedule.
    SoakRandom stopRandom_;
    SoakRandom reloadRandom_;
    SoakRandom changeRandom_;
    SoakRandom noticeRandom_;
    std::filesystem::path folder_;
    asio::io_context context_{1};
    RowStore store_;
    std::unique_ptr<HttpServer> storeServer_;
    std::uint32_t network_ = 0;
    SoakLedger ledger_;
    SoakCallerLimits limits_;
    std::deque<SoakDaemon> daemons_;
    std::vector<std::unique_ptr<SoakServer>> servers_;
    std::vector<std::unique_ptr<SoakCallers>> callers_;
    std::vector<DisturbanceRecord> disturbances_;
    std::vector<ChangeRecord> changes_;
    std::vector<Millis> pastTimeouts_;
    std::vector<Millis> pastIdleTimeouts_;
    // Requests without a response that the daemons have logged, by reason.
    std::map<std::string, int> unanswered_;
    std::vector<std::string> violations_;
    int version_ = 0;
    bool isEnding_ = false;
};

// Parses the command line. Throws when a required option is missing.
SoakOptions readOptions(int argc, char **argv)
{
    SoakOptions settings;
    options::options_description description("Process soak of planned work");
    auto add = description.add_options();
    add("program", options::value(&settings.program_)->required(), "path of radishfordd");
    add("seed", options::value(&settings.seed_), "seed of the schedule and the requests");
    add("daemons", options::value(&settings.daemons_), "number of daemons");
    add("connections", options::value(&settings.connections_), "connections to each daemon");
    add("seconds", options::value(&settings.seconds_), "duration of the schedule");
    add("notices", options::bool_switch(&settings.hasNotices_), "backend servers state request limits, leave and start again");
    add("keep-logs", options::bool_switch(&settings.keepsLogs_), "keep the daemons' logs also when no rule is broken");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    return settings;
}

} // namespace

} // namespace radishford

int main(int argc, char **argv)
{
    try {
        radishford::Soak soak(radishford::readOptions(argc, argv));
        return soak.run() ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << "soak: " << error.what() << "\n";
        return 2;
    }
}
