// Sends a GET request to a stand-in upstream and prints the body of the response.
#include "dandelionslip/Net/Http2Client.h"

#include <boost/asio/io_context.hpp>

#include <iostream>

int main(int aArgc, char** aArgv)
{
  using namespace dandelionslip;
  constexpr int kArguments = 3;
  if (aArgc != kArguments) {
    std::cerr << "usage: standin-query ENDPOINT PATH\n";
    return 2;
  }
  const auto endpoint = Endpoint::Parse(aArgv[1]);
  if (!endpoint) {
    std::cerr << endpoint.error().Message() << "\n";
    return 2;
  }
  boost::asio::io_context loop;
  Http2Client client(loop, endpoint.value());
  HttpRequest request;
  request.mMethod = "GET";
  request.mPath = aArgv[2];
  int code = -1;
  constexpr Milliseconds kTimeout{5'000};
  client.Send(std::move(request), kTimeout, [&](const auto& aResult) {
    code = aResult ? 0 : 1;
    if (aResult) {
      const auto& body = aResult.value().mBody;
      std::cout.write(reinterpret_cast<const char*>(body.data()),
                      static_cast<std::streamsize>(body.size()));
    } else {
      std::cerr << aResult.error().Message() << "\n";
    }
  });
  while (code < 0 && loop.run_one() > 0) {
  }
  return code;
}
