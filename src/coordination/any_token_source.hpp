#pragma once

/// \file
/// A type-erased reference to a token source, so that request handling is compiled only once for
/// all types of token source.

#include "coordination/token_source.hpp"

namespace banyanshunt
{

/// Refers to a token source that outlives it; copying it copies the reference.
class any_token_source
{
public:
    template <token_source Source>
        requires(!std::same_as<Source, any_token_source>)
    any_token_source(Source& source)
        : source_(&source), reserve_(&reserve_at<Source>), settle_(&settle_at<Source>)
    {
    }

    verdict<reservation> reserve(const workspace_id& workspace, millitokens amount,
                                 instant now) const
    {
        return reserve_(source_, workspace, amount, now);
    }

    void settle(const reservation& held, millitokens used, instant now) const
    {
        settle_(source_, held, used, now);
    }

private:
    template <class Source>
    static verdict<reservation> reserve_at(void* source, const workspace_id& workspace,
                                           millitokens amount, instant now)
    {
        return static_cast<Source*>(source)->reserve(workspace, amount, now);
    }

    template <class Source>
    static void settle_at(void* source, const reservation& held, millitokens used, instant now)
    {
        static_cast<Source*>(source)->settle(held, used, now);
    }

    void* source_;
    verdict<reservation> (*reserve_)(void*, const workspace_id&, millitokens, instant);
    void (*settle_)(void*, const reservation&, millitokens, instant);
};

} // namespace banyanshunt
