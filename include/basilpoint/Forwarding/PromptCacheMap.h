#pragma once

#include "basilpoint/Forwarding/PromptPart.h"
#include "basilpoint/Forwarding/TargetDirectory.h"

#include <list>
#include <unordered_map>
#include <vector>

namespace basilpoint {

/// Prompt tokens that each target is expected to have in its cache.
using CachedTokens = std::unordered_map<TargetId, TokenCount>;

/// Remembers which targets have lately read which parts of prompts, as far as this daemon's calls show.
class PromptCacheMap {
public:
    explicit PromptCacheMap(std::size_t maxEntries = defaultMaxEntries)
        : m_maxEntries(maxEntries)
    {
    }

    /// Records that the target has read a prompt that consists of \p parts.
    void read(const TargetId&, const std::vector<PromptPart>& parts);

    /// Tokens of \p parts by target. A part counts only if the target has read all parts before it too.
    CachedTokens cached(const std::vector<PromptPart>& parts) const;

    /// Forgets a target whose lifetime has ended.
    void forget(const TargetId&);

    std::size_t size() const { return m_entries.size(); }

    /// Pairs of part and target. About 150 bytes each, so under 1 MB.
    static constexpr std::size_t defaultMaxEntries = 4'096;
    /// Parts of one prompt that are remembered, so that a prompt of very many parts does not evict the others.
    static constexpr std::size_t maxPartsOfPrompt = 32;

private:
    struct Entry {
        std::uint64_t part = 0;
        TargetId target;
    };
    using Position = std::list<Entry>::iterator;

    void erase(Position);

    std::size_t m_maxEntries;
    /// The least recently read first.
    std::list<Entry> m_entries;
    std::unordered_map<std::uint64_t, std::vector<Position>> m_parts;
};

} // namespace basilpoint
