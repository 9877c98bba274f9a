#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
exec "$(dirname "$0")/../common-2/run-case" 10
