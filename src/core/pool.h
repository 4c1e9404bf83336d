// Table of rows that are named by index and generation, never by pointer across ticks.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace radishford {

// Names a row of a pool. The generation tells a reused row from the one that was removed.
template<typename Tag>
struct PoolId {
    // Position in the pool.
    std::uint32_t index_ = 0;
    // Count of uses of that position; zero names no row.
    std::uint32_t generation_ = 0;

    // True when this names a row that existed at some time.
    [[nodiscard]] bool isValid() const
    {
        return generation_ != 0;
    }

    // The id as one number, for messages and timers.
    [[nodiscard]] std::uint64_t packed() const
    {
        return (static_cast<std::uint64_t>(generation_) << 32U) | index_;
    }

    // The id that packed() gave.
    static PoolId fromPacked(std::uint64_t packed)
    {
        return PoolId{static_cast<std::uint32_t>(packed), static_cast<std::uint32_t>(packed >> 32U)};
    }

    // Orders by position, then by use.
    auto operator<=>(const PoolId &) const = default;
};

// Rows of one type. Pointers that get() returns are good until the next create().
template<typename Row, typename Id>
class Pool
{
public:
    // Adds a row and returns its id.
    Id create(Row row = Row())
    {
        const std::uint32_t index = allocateIndex();
        Entry &entry = entries_[index];
        entry.row_.emplace(std::move(row));
        ++entry.generation_;
        ++size_;
        return Id{index, entry.generation_};
    }

    // The row, or nullptr when it was removed or never existed.
    Row *get(Id id)
    {
        return const_cast<Row *>(std::as_const(*this).get(id));
    }

    // The row, or nullptr when it was removed or never existed.
    const Row *get(Id id) const
    {
        if (id.index_ >= entries_.size()) {
            return nullptr;
        }
        const Entry &entry = entries_[id.index_];
        const bool current = entry.row_.has_value() && entry.generation_ == id.generation_;
        return current ? &*entry.row_ : nullptr;
    }

    // Removes a row; ids of removed rows are ignored.
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

    // Number of positions, for sweeps by slice.
    [[nodiscard]] std::size_t capacity() const
    {
        return entries_.size();
    }

    // The id of the row at a position, or an invalid id when the position is empty.
    [[nodiscard]] Id idAt(std::size_t index) const
    {
        if (index >= entries_.size() || !entries_[index].row_.has_value()) {
            return Id{};
        }
        return Id{static_cast<std::uint32_t>(index), entries_[index].generation_};
    }

    // Calls visit(id, row) for every row, by position.
    template<typename Visit>
    void forEach(Visit visit)
    {
        for (std::size_t index = 0; index < entries_.size(); ++index) {
            if (entries_[index].row_.has_value()) {
                visit(idAt(index), *entries_[index].row_);
            }
        }
    }

    // Calls visit(id, row) for every row, by position.
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
    // One position: its row, if any, and how often it was used.
    struct Entry {
        std::optional<Row> row_;
        std::uint32_t generation_ = 0;
    };

    // A free position, reused or new.
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

    // All positions.
    std::vector<Entry> entries_;
    // Positions without a row.
    std::vector<std::uint32_t> free_;
    // Number of rows.
    std::size_t size_ = 0;
};

} // namespace radishford
