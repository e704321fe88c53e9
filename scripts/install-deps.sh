#!/usr/bin/env bash
# Installs what building, testing and linting need, on Debian; does nothing where all is there.
set -eu
PACKAGES="build-essential pkg-config meson ninja-build libuv1-dev libh2o-dev libprotobuf-c-dev
liblog4c-dev check libcyaml-dev libyaml-dev libjansson-dev libxxhash-dev libhttp-parser-dev libssl-dev zlib1g-dev
curl jq gawk clang-format clang-tidy scdoc"
missing=""
for package in $PACKAGES; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q "ok installed" || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
echo "installing:$missing"
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing >/dev/null
