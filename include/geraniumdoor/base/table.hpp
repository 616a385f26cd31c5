#pragma once

#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

namespace geraniumdoor
{

/// Rows in contiguous memory, found by id in constant time.
/// Erasing moves the last row into the gap: pointers and iteration order are
/// valid only until the next insert or erase.
template<class Id, class Row>
class table
{
public:
    struct entry
    {
        Id m_id;
        Row m_row;
    };

    Row* find(const Id& id)
    {
        const auto at = m_index.find(id);
        return at == m_index.end() ? nullptr : &m_entries[at->second].m_row;
    }

    const Row* find(const Id& id) const
    {
        const auto at = m_index.find(id);
        return at == m_index.end() ? nullptr : &m_entries[at->second].m_row;
    }

    /// Inserts a row, or replaces the row with that id.
    Row& put(const Id& id, Row row)
    {
        const auto [at, inserted] = m_index.try_emplace(id, m_entries.size());
        if (inserted)
        {
            m_entries.push_back(entry{id, std::move(row)});
        }
        else
        {
            m_entries[at->second].m_row = std::move(row);
        }
        return m_entries[at->second].m_row;
    }

    /// Returns whether a row was erased.
    bool erase(const Id& id)
    {
        const auto at = m_index.find(id);
        if (at == m_index.end())
        {
            return false;
        }
        const std::size_t gap = at->second;
        m_index.erase(at);
        if (gap + 1 != m_entries.size())
        {
            m_entries[gap] = std::move(m_entries.back());
            m_index[m_entries[gap].m_id] = gap;
        }
        m_entries.pop_back();
        return true;
    }

    void clear()
    {
        m_entries.clear();
        m_index.clear();
    }

    std::size_t size() const
    {
        return m_entries.size();
    }

    bool empty() const
    {
        return m_entries.empty();
    }

    auto begin()
    {
        return m_entries.begin();
    }

    auto end()
    {
        return m_entries.end();
    }

    auto begin() const
    {
        return m_entries.begin();
    }

    auto end() const
    {
        return m_entries.end();
    }

private:
    std::vector<entry> m_entries;
    std::unordered_map<Id, std::size_t> m_index;
};

} // namespace geraniumdoor
