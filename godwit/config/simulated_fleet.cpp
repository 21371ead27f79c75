#include "godwit/config/simulated_fleet.h"

#include <nlohmann/json.hpp>

namespace Godwit::Simulation
{

SimulatedFleet::SimulatedFleet(FleetOptions fleetOptions)
    : options(std::move(fleetOptions))
    , nodes(options.nodes)
    , m_random(options.seed)
    , m_links(options.nodes, std::vector<bool>(options.nodes, options.links == 0))
    , m_wakes(options.nodes)
{
    for (std::size_t a = 0; a < options.nodes && options.links > 0; ++a) {
        for (std::size_t i = 0; i < options.links; ++i) {
            const std::size_t b = m_random() % options.nodes;
            m_links[a][b] = true;
            m_links[b][a] = true;
        }
    }
}

Incarnation SimulatedFleet::nameOf(std::size_t node) const
{
    return Incarnation("node-" + std::to_string(node) + '.' + std::to_string(nodes[node].life));
}

std::size_t SimulatedFleet::indexOf(const Incarnation &incarnation) const
{
    return std::stoul(incarnation.value.substr(5));
}

double SimulatedFleet::chance()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
}

Duration SimulatedFleet::delay(std::size_t a, std::size_t b) const
{
    const bool sameRegion = a % options.dataCentres % 2 == b % options.dataCentres % 2;
    return sameRegion ? options.nearDelay : options.farDelay;
}

bool SimulatedFleet::linked(std::size_t a, std::size_t b) const
{
    const bool separated = m_side && m_side(a) != m_side(b);
    return a != b && m_links[a][b] && !separated && nodes[a].up && nodes[b].up;
}

void SimulatedFleet::at(TimePoint time, std::function<void()> what)
{
    m_events.emplace(time, std::move(what));
}

void SimulatedFleet::start()
{
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        nodes[node].up = false;
    }
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        restart(node);
    }
}

void SimulatedFleet::restart(std::size_t node)
{
    Node &self = nodes[node];
    for (std::size_t other = 0; other < nodes.size(); ++other) {
        if (linked(node, other)) {
            onPeerDown(nodes[other].agent, nameOf(node));
        }
    }
    ++self.life;
    self.up = true;
    self.adopted.clear();
    self.open.clear();
    ConfigAgentOptions agentOptions = options.agent;
    agentOptions.self = nameOf(node);
    agentOptions.dataCentre = DataCentreId("dc-" + std::to_string(node % options.dataCentres));
    self.agent = makeConfigAgent(agentOptions);
    perform(node, onStart(self.agent, m_now));
    connect(node);
    for (std::size_t other = 0; other < nodes.size(); ++other) {
        if (nodes[other].up) {
            tellLive(other);
        }
    }
    const std::uint64_t life = self.life;
    at(m_now + options.heartbeat * static_cast<int>(m_random() % 1000) / 1000, [this, node, life] {
        if (nodes[node].life == life) {
            beat(node);
        }
    });
}

void SimulatedFleet::connect(std::size_t node)
{
    for (std::size_t other = 0; other < nodes.size(); ++other) {
        if (linked(node, other) && nodes[node].agent.peers.count(nameOf(other)) == 0) {
            perform(node, onPeerUp(nodes[node].agent, nameOf(other), m_now));
            perform(other, onPeerUp(nodes[other].agent, nameOf(node), m_now));
        }
    }
}

void SimulatedFleet::tellLive(std::size_t node)
{
    std::vector<ConfigPeer> live;
    for (std::size_t other = 0; other < nodes.size(); ++other) {
        if (nodes[other].up) {
            live.push_back({nameOf(other), DataCentreId("dc-" + std::to_string(other % options.dataCentres))});
        }
    }
    perform(node, onLiveRouters(nodes[node].agent, live, m_now));
}

void SimulatedFleet::separate(std::function<bool(std::size_t)> side)
{
    for (std::size_t a = 0; a < nodes.size(); ++a) {
        for (std::size_t b = 0; b < nodes.size(); ++b) {
            if (side(a) != side(b)) {
                onPeerDown(nodes[a].agent, nameOf(b));
            }
        }
        wake(a);
    }
    m_side = std::move(side);
}

void SimulatedFleet::cut(std::size_t boundary)
{
    separate([boundary](std::size_t node) {
        return node < boundary;
    });
}

void SimulatedFleet::cutOff(std::size_t node)
{
    separate([node](std::size_t other) {
        return other == node;
    });
}

void SimulatedFleet::heal()
{
    m_side = nullptr;
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        connect(node);
    }
}

void SimulatedFleet::submit(std::size_t node, ConfigPatch patch)
{
    ConfigActions actions;
    const ConfigPatch copy = patch;
    submitted.emplace(copy.id, copy);
    const ChangeId id = submitPatch(nodes[node].agent, std::move(patch), m_now, actions);
    nodes[node].open.emplace(id, copy);
    perform(node, std::move(actions));
}

KvReply SimulatedFleet::apply(const KvCommand &command)
{
    KvReply reply;
    reply.tag = command.tag;
    reply.status = KvStatus::Ok;
    if (command.verb == KvVerb::List) {
        nlohmann::json rows = nlohmann::json::array();
        for (const auto &[key, stored] : store) {
            if (key.compare(0, command.key.size(), command.key) == 0) {
                rows.push_back({{"key", key}, {"version", stored.version}});
            }
        }
        reply.value = rows.dump();
        return reply;
    }
    const auto found = store.find(command.key);
    const std::uint64_t version = found == store.end() ? 0 : found->second.version;
    if (command.verb == KvVerb::Get) {
        reply.status = version == 0 ? KvStatus::NotFound : KvStatus::Ok;
    } else if (version != command.expectedVersion) {
        reply.status = KvStatus::Conflict;
    } else if (command.verb == KvVerb::Delete) {
        store.erase(command.key);
        return reply;
    } else {
        store[command.key] = {version + 1, command.value};
        reply.version = version + 1;
        notifyWatchers(command.key, version + 1);
        return reply;
    }
    if (version != 0) {
        reply.version = version;
        reply.value = found->second.value;
    }
    return reply;
}

void SimulatedFleet::notifyWatchers(const std::string &key, std::uint64_t version)
{
    if (!options.watches) {
        return;
    }
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        if (nodes[node].up && nodes[node].agent.watching) {
            at(m_now + options.watchDelay, [this, node, life = nodes[node].life, key, version] {
                if (nodes[node].life == life) {
                    perform(node, onKeyChanged(nodes[node].agent, key, version, m_now));
                }
            });
        }
    }
}

void SimulatedFleet::performCommand(std::size_t node, const KvCommand &command)
{
    const std::uint64_t life = nodes[node].life;
    const auto answer = [this, node, life](TimePoint when, const KvReply &reply) {
        at(when, [this, node, life, reply] {
            if (nodes[node].life == life) {
                perform(node, onKvReply(nodes[node].agent, reply, m_now));
            }
        });
    };
    ++platformCalls;
    // Commands overtake each other on their way.
    const Duration way = options.platformDelay / 2 + options.platformDelay * static_cast<int>(m_random() % 1000) / 1000;
    at(m_now + way, [this, command, answer, sent = m_now] {
        KvReply reply;
        reply.tag = command.tag;
        if (options.rejects && options.rejects(command)) {
            reply.status = KvStatus::Rejected;
            answer(m_now + options.platformDelay, reply);
            return;
        }
        if (!options.platformUp) {
            reply.status = chance() < 0.5 ? KvStatus::Rejected : KvStatus::Unknown;
            answer(m_now, reply);
            return;
        }
        const KvReply real = apply(command);
        const bool late = m_now + options.platformDelay - sent > options.platformTimeout;
        if (late || chance() < options.lostAnswers) {
            reply.status = KvStatus::Unknown;
            answer(sent + options.platformTimeout, reply);
            return;
        }
        answer(m_now + options.platformDelay, real);
    });
}

void SimulatedFleet::perform(std::size_t node, ConfigActions actions)
{
    Node &self = nodes[node];
    for (ConfigAction &action : actions) {
        if (const auto *command = std::get_if<KvCommand>(&action)) {
            performCommand(node, *command);
        } else if (const auto *adopted = std::get_if<ConfigAdopted>(&action)) {
            self.adopted.push_back(adopted->document->revision);
            self.adoptedAt.emplace(adopted->document->revision, m_now);
        } else if (const auto *send = std::get_if<SendDocument>(&action)) {
            const std::size_t to = indexOf(send->to);
            if (!linked(node, to) || send->to != nameOf(to) || options.mute == node
                || chance() < options.lostPeerMessages) {
                continue;
            }
            at(m_now + delay(node, to), [this, to, life = nodes[to].life, from = nameOf(node), bytes = send->cbor] {
                if (nodes[to].life == life) {
                    nodes[to].bytesReceived += bytes.size();
                    ++nodes[to].messagesReceived;
                    perform(to, onPeerDocument(nodes[to].agent, from, bytes, m_now));
                }
            });
        } else if (const auto *accepted = std::get_if<ChangeAccepted>(&action)) {
            outcomes.push_back({self.open.at(accepted->id), true, accepted->revision, ErrorKind::Internal, m_now});
        } else if (const auto *refused = std::get_if<ChangeRefused>(&action)) {
            outcomes.push_back({self.open.at(refused->id), false, 0, refused->error.kind, m_now});
        }
    }
    wake(node);
}

void SimulatedFleet::wake(std::size_t node)
{
    const auto when = nextWake(nodes[node].agent);
    if (!when || m_wakes[node] == *when) {
        return;
    }
    m_wakes[node] = *when;
    at(std::max(*when, m_now), [this, node, life = nodes[node].life, planned = *when] {
        if (nodes[node].life == life && m_wakes[node] == planned) {
            m_wakes[node] = {};
            perform(node, onTick(nodes[node].agent, m_now));
        }
    });
}

void SimulatedFleet::beat(std::size_t node)
{
    const std::uint64_t revision = configRevision(nodes[node].agent);
    for (std::size_t other = 0; other < nodes.size(); ++other) {
        if (!linked(node, other) || options.mute == node) {
            continue;
        }
        at(m_now + delay(node, other), [this, other, life = nodes[other].life, from = nameOf(node), revision] {
            if (nodes[other].life == life) {
                perform(other, onPeerRevision(nodes[other].agent, from, revision, m_now));
            }
        });
    }
    at(m_now + options.heartbeat, [this, node, life = nodes[node].life] {
        if (nodes[node].life == life) {
            beat(node);
        }
    });
}

void SimulatedFleet::run(Duration time)
{
    const TimePoint end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        const auto first = m_events.begin();
        m_now = std::max(m_now, first->first);
        const std::function<void()> what = std::move(first->second);
        m_events.erase(first);
        what();
    }
    m_now = end;
}

} // namespace Godwit::Simulation
