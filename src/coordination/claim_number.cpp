#include "coordination/claim_number.hpp"

#include <boost/asio/ip/address_v4.hpp>

namespace banyanshunt
{

machine_number machine_number_of(std::string_view address)
{
    boost::system::error_code ec;
    auto it = boost::asio::ip::make_address_v4(address, ec);
    return machine_number(ec ? 0 : static_cast<std::int64_t>(it.to_uint()));
}

} // namespace banyanshunt
