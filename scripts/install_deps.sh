#!/usr/bin/env bash
# Installs the Debian packages that the build needs, unless all are present.
set -eu
packages=(libboost-dev libboost-system-dev libmsgpack-cxx-dev librapidcheck-dev
    libcxxopts-dev libfmt-dev libinih-dev libssl-dev nlohmann-json3-dev libgtest-dev
    libbenchmark-dev ccache ninja-build cmake g++ clang-format clang-tidy cppcheck
    curl python3)
if dpkg-query -W -f '${db:Status-Status}\n' "${packages[@]}" 2>/dev/null |
    sort | uniq -c | grep -qE "^ *${#packages[@]} installed$"; then
    exit 0
fi
apt-get update
DEBIAN_FRONTEND=noninteractive apt-get install -y "${packages[@]}"
