// Merges what daemons know of a suspect, and decides what it amounts to.
#include "call/suspect_merge_func.h"

#include "core/hash.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <tuple>

namespace radishford {

namespace {

// Maximum number of failures that are kept of one request.
constexpr std::size_t MaxFailures = 16;

// Returns the number of failures that are not cleared and are attributed to the request, or not.
std::size_t countOpen(const Suspect &suspect, bool isAttributed)
{
    const auto count = std::count_if(suspect.failures_.begin(), suspect.failures_.end(),
                                     [&](const SuspectFailure &failure) { return !failure.isCleared_ && failure.isAttributed_ == isAttributed; });
    return static_cast<std::size_t>(count);
}

// Drops the failure that matters least.
void dropOneFailure(Suspect &suspect)
{
    const auto worth = [](const SuspectFailure &failure) { return std::tuple(!failure.isCleared_, failure.isAttributed_, failure.id_); };
    suspect.failures_.erase(std::min_element(suspect.failures_.begin(), suspect.failures_.end(),
                                             [&](const SuspectFailure &first, const SuspectFailure &second) { return worth(first) < worth(second); }));
}

} // namespace

bool mergeFailure(Suspect &suspect, const SuspectFailure &failure)
{
    const auto place = std::lower_bound(suspect.failures_.begin(), suspect.failures_.end(), failure,
                                        [](const SuspectFailure &first, const SuspectFailure &second) { return first.id_ < second.id_; });
    if (place == suspect.failures_.end() || place->id_ != failure.id_) {
        suspect.failures_.insert(place, failure);
        if (suspect.failures_.size() > MaxFailures) {
            dropOneFailure(suspect);
        }
        return true;
    }
    const SuspectFailure merged{failure.id_, place->isAttributed_ || failure.isAttributed_, place->isCleared_ || failure.isCleared_};
    const bool hasChanged = merged != *place;
    *place = merged;
    return hasChanged;
}

bool clearFailures(Suspect &suspect)
{
    const bool hasChanged = hasOpenFailure(suspect);
    for (SuspectFailure &failure : suspect.failures_) {
        failure.isCleared_ = true;
    }
    return hasChanged;
}

std::size_t countOpenFailures(const Suspect &suspect)
{
    return countOpen(suspect, true) + countOpen(suspect, false);
}

bool hasOpenFailure(const Suspect &suspect)
{
    return countOpenFailures(suspect) > 0;
}

bool isOverThreshold(const Suspect &suspect, const QuarantinePolicy &policy)
{
    return countOpen(suspect, true) + std::min(countOpen(suspect, false), policy.maxUnattributed_) >= policy.threshold_;
}

std::uint64_t hashOf(Fingerprint fingerprint, const Suspect &suspect)
{
    // Flags are part of the hashed numbers, not of their order, so that equal records have equal hashes.
    std::uint64_t hash = fingerprint.value() + (suspect.isStored_ ? 1U : 0U);
    for (const SuspectFailure &failure : suspect.failures_) {
        const std::uint64_t flags = (failure.isAttributed_ ? 1U : 0U) + (failure.isCleared_ ? 2U : 0U);
        const std::array<std::uint64_t, 2> numbers{failure.id_.value(), flags};
        hash = hashBytes(std::string_view(reinterpret_cast<const char *>(numbers.data()), sizeof(numbers)), hash);
    }
    return hash;
}

} // namespace radishford
