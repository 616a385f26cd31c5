#include <geraniumdoor/base/packed_text.hpp>
#include <geraniumdoor/base/random.hpp>

#include <rapidcheck.h>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;

// Guards against a configuration that arrives changed, and against bytes of a peer that
// make a host allocate without bound.
TestSuite(packed_text);

Test(packed_text, a_text_comes_back_as_it_was)
{
    const bool holds = rc::check(
        [](const std::string& text)
        {
            RC_ASSERT(unpack_text(pack_text(text), 100'000) == text);
        });
    cr_expect(holds);
    std::string large;
    for (int route = 0; route < 3000; ++route)
    {
        large += R"({"name":"r-)" + std::to_string(route) + R"(","timeoutMs":6000},)";
    }
    const std::string packed = pack_text(large);
    cr_expect(packed.size() * 5 < large.size(), "%zu of %zu", packed.size(),
              large.size());
    cr_expect(unpack_text(packed, large.size()) == large);
    cr_expect(not unpack_text(packed, large.size() - 1).has_value());
}

Test(packed_text, damaged_bytes_give_a_text_or_nothing)
{
    const bool holds = rc::check(
        [](const std::string& noise, std::uint32_t seed)
        {
            (void)unpack_text(noise, 100'000);
            random_source random{seed};
            std::string packed = pack_text(std::string(300, 'a') + noise);
            packed[uniform_below(random, static_cast<std::uint32_t>(packed.size()))] ^=
                static_cast<char>(1 + uniform_below(random, 255));
            const auto text = unpack_text(packed, 2000);
            RC_ASSERT(!text || text->size() <= 2000);
            (void)unpack_text(packed.substr(0, packed.size() / 2), 2000);
        });
    cr_expect(holds);
}
