// Table of rows that are referred to by index and generation (slot map). Pointers to rows must not be kept across ticks.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace radishford {

// Id of a row in a pool. The generation distinguishes a row from earlier ones at the same position.
template<typename Tag>
struct PoolId {
    // Position in the pool.
    std::uint32_t index_ = 0;
    // Number of rows created at the position up to this one; zero marks an invalid id.
    std::uint32_t generation_ = 0;

    // Returns true when the id was given out by a pool. The row may have been removed since.
    [[nodiscard]] bool isValid() const
    {
        return generation_ != 0;
    }

    // The id as one number, for messages and timers.
    [[nodiscard]] std::uint64_t packed() const
    {
        return (static_cast<std::uint64_t>(generation_) << 32U) | index_;
    }

    // Restores the id from the number that packed() returned.
    static PoolId fromPacked(std::uint64_t packed)
    {
        return PoolId{static_cast<std::uint32_t>(packed), static_cast<std::uint32_t>(packed >> 32U)};
    }

    // Orders by position, then by generation.
    auto operator<=>(const PoolId &) const = default;
};

// Rows of one type. A pointer returned by get() is valid until the next create() or until its row is removed.
template<typename Row, typename Id>
class Pool
{
public:
    // Adds a row and returns its id. Invalidates pointers to rows.
    Id create(Row row = Row())
    {
        const std::uint32_t index = allocateIndex();
        Entry &entry = entries_[index];
        entry.row_.emplace(std::move(row));
        ++entry.generation_;
        ++size_;
        return Id{index, entry.generation_};
    }

    // Returns the row, or nullptr when it was removed or never existed.
    Row *get(Id id)
    {
        return const_cast<Row *>(std::as_const(*this).get(id));
    }

    // Returns the row, or nullptr when it was removed or never existed.
    const Row *get(Id id) const
    {
        if (id.index_ >= entries_.size()) {
            return nullptr;
        }
        const Entry &entry = entries_[id.index_];
        const bool isCurrent = entry.row_.has_value() && entry.generation_ == id.generation_;
        return isCurrent ? &*entry.row_ : nullptr;
    }

    // Removes a row. Does nothing when the row was already removed.
    void remove(Id id)
    {
        if (get(id) == nullptr) {
            return;
        }
        entries_[id.index_].row_.reset();
        free_.push_back(id.index_);
        --size_;
    }

    // Number of rows.
    [[nodiscard]] std::size_t size() const
    {
        return size_;
    }

    // Number of positions, used and free. With idAt() it allows scans of a part of the table at a time.
    [[nodiscard]] std::size_t capacity() const
    {
        return entries_.size();
    }

    // Returns the id of the row at a position, or an invalid id when the position is empty.
    [[nodiscard]] Id idAt(std::size_t index) const
    {
        if (index >= entries_.size() || !entries_[index].row_.has_value()) {
            return Id{};
        }
        return Id{static_cast<std::uint32_t>(index), entries_[index].generation_};
    }

    // Calls visit(id, row) for every row in the order of positions.
    template<typename Visit>
    void forEach(Visit visit)
    {
        for (std::size_t index = 0; index < entries_.size(); ++index) {
            if (entries_[index].row_.has_value()) {
                visit(idAt(index), *entries_[index].row_);
            }
        }
    }

    // Calls visit(id, row) for every row in the order of positions.
    template<typename Visit>
    void forEach(Visit visit) const
    {
        for (std::size_t index = 0; index < entries_.size(); ++index) {
            if (entries_[index].row_.has_value()) {
                visit(idAt(index), *entries_[index].row_);
            }
        }
    }

private:
    // A position: its row, if any, and the generation of the latest row.
    struct Entry {
        std::optional<Row> row_;
        std::uint32_t generation_ = 0;
    };

    // Returns a free position, either a reused or a new one.
    std::uint32_t allocateIndex()
    {
        if (free_.empty()) {
            entries_.emplace_back();
            return static_cast<std::uint32_t>(entries_.size() - 1);
        }
        const std::uint32_t index = free_.back();
        free_.pop_back();
        return index;
    }

    // All positions, used and free.
    std::vector<Entry> entries_;
    // Free positions; the most recently freed one is reused first.
    std::vector<std::uint32_t> free_;
    // Number of rows.
    std::size_t size_ = 0;
};

} // namespace radishford
