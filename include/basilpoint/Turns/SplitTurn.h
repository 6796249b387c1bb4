#pragma once

#include "basilpoint/Support/Hash.h"
#include "basilpoint/Turns/TurnRecord.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace basilpoint {

/// Form in which a turn is stored that is too large for one value of the store: a head, and pieces of its input and output.
///
/// Pieces are named by their content, so that writing them again changes nothing, and a head is written only after them.
class SplitTurn {
public:
    SplitTurn(std::shared_ptr<const TurnRecord>, std::size_t pieceBytes);

    /// Value of the head.
    std::string head() const;
    std::size_t pieces() const;
    /// Name of a piece, which is part of its key.
    std::string pieceName(std::size_t n) const;
    std::string piece(std::size_t n) const;

    /// Finds the value of a piece by its name; null if it is not known.
    using PieceLookup = std::function<const std::string*(const std::string& name)>;

    /// Joins a turn. \returns nothing if a piece is not known. \throws DamagedRecordError
    static std::optional<TurnRecord> join(const std::string& head, const PieceLookup&);

    /// Bytes of the turn's input and output.
    static std::size_t bytesOf(const TurnRecord& record) { return record.input.size() + record.output.size(); }

private:
    std::shared_ptr<const TurnRecord> m_record;
    std::size_t m_pieceBytes;
    Digest m_content;
};

} // namespace basilpoint
