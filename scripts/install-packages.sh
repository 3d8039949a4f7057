#!/usr/bin/env bash
# Installs missing Debian 12 packages that the build and the tests need.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache pkg-config git
    clang-format clang-tidy
    libace-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler
    libboost1.81-dev libboost-json1.81-dev libboost-log1.81-dev
    libcli11-dev libmicrohttpd-dev libcurl4-openssl-dev
    libbenchmark-dev libcppunit-dev librapidcheck-dev libclang-rt-14-dev
    libxxhash-dev libsodium-dev zlib1g-dev python3
)

missing=()
for package in "${packages[@]}"; do
    status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
    [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

echo "installing: ${missing[*]}"
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" env DEBIAN_FRONTEND=noninteractive \
    apt-get install -y -qq --no-install-recommends "${missing[@]}"
