#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
#
# Runs this case, with TROUBLE=0 without its disruption. Exit: 1 the rule was broken, 0 it held, 2 it could not run.
if [[ ${TROUBLE:-1} == 0 ]]; then trouble=0; else trouble=1; fi
exec "$(dirname "$0")/../common-2/run-case" 6 "$trouble"
