#pragma once

#include <geraniumdoor/base/hash.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <string>

namespace geraniumdoor
{

/// Returns the text that follows a request through its stages: "marker" of the input, or
/// the first word of its "text".
inline std::string marker_of(const boost::json::value& input)
{
    const auto* object = input.if_object();
    for (const char* name : {"marker", "text"})
    {
        const auto* value = object == nullptr ? nullptr : object->if_contains(name);
        if (value != nullptr && value->is_string())
        {
            const std::string text{value->get_string()};
            return text.substr(0, text.find(' '));
        }
    }
    return "none";
}

inline std::uint64_t number_of(const std::string& text, std::uint64_t salt)
{
    return stable_hash(text + "#" + std::to_string(salt)) % 100'000;
}

/// Returns one token of the answer to an input. Token 0 is the marker.
inline std::string make_token(const boost::json::value& input, std::uint32_t index)
{
    const std::string marker = marker_of(input);
    return index == 0 ? marker : " " + std::to_string(number_of(marker, index));
}

inline boost::json::array make_documents(const std::string& text)
{
    boost::json::array documents;
    for (std::uint64_t index = 0; index < 5; ++index)
    {
        const auto number = std::to_string(number_of(text, index));
        documents.emplace_back(boost::json::object{{"id", "document-" + number}});
    }
    return documents;
}

/// Returns the documents of the input in an order that depends on them alone.
inline boost::json::array rank_documents(const boost::json::value& input,
                                         const std::string& text)
{
    const auto* object = input.if_object();
    const auto* given = object == nullptr ? nullptr : object->if_contains("documents");
    auto documents =
        given != nullptr && given->is_array() ? given->get_array() : make_documents(text);
    const auto rank = [](const boost::json::value& document)
    {
        return number_of(boost::json::serialize(document), 0);
    };
    std::stable_sort(documents.begin(), documents.end(),
                     [&](const auto& left, const auto& right)
                     {
                         return rank(left) < rank(right);
                     });
    return documents;
}

/// Returns the output of a whole answer, made from the kind and input alone.
inline boost::json::object make_output(const std::string& kind,
                                       const boost::json::value& input)
{
    const std::string text = boost::json::serialize(input);
    boost::json::object output{{"marker", marker_of(input)}};
    if (kind == "encoder")
    {
        output["vector"] = {number_of(text, 0), number_of(text, 1), number_of(text, 2)};
    }
    else if (kind == "retriever")
    {
        output["documents"] = make_documents(text);
    }
    else if (kind == "reranker")
    {
        output["documents"] = rank_documents(input, text);
    }
    else
    {
        output["reference"] = digest_hex(text);
    }
    return output;
}

} // namespace geraniumdoor
