#pragma once

// What configuration agents send each other. Internal to this package.
//
// Example:
//   for (auto &[peer, known] : agent.peers) { bringUp(agent, peer, known, actions); }

#include "godwit/config/config_agent.h"
#include "godwit/config/config_codec.h"

#include <cstdint>

namespace Godwit::internal
{

// The highest revision this router holds, in force or waiting for the end of the start; null: none.
const ConfigDocument *highestHeld(const ConfigAgent &agent);
std::uint64_t highestRevision(const ConfigAgent &agent);

void sendToPeer(ConfigAgent &agent, const Incarnation &to, const PeerMessage &message, ConfigActions &actions);

// Tells the own revision.
void sendNotice(ConfigAgent &agent, const Incarnation &to, ConfigActions &actions);

// Asks for what leads to `wanted`, unless another peer was asked for as much a moment ago.
void askPeer(ConfigAgent &agent, const Incarnation &to, std::uint64_t wanted, TimePoint now, ConfigActions &actions);

// Sends the peer what it lacks after `known`: patches when they are kept and short, else word that there is more.
void bringUp(ConfigAgent &agent, const Incarnation &peer, std::uint64_t &known, ConfigActions &actions);

// Answers a peer that stands at `revision`: with patches, or with the whole document.
void answerAsk(ConfigAgent &agent, const Incarnation &from, std::uint64_t revision, ConfigActions &actions);

} // namespace Godwit::internal
