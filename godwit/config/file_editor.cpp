#include "godwit/config/file_editor.h"

#include "godwit/base/hash.h"

#include <algorithm>
#include <sstream>

namespace Godwit::internal
{
namespace
{

template<typename Value>
std::string printed(const Value &value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

// The inside of an object: an inline table would print itself with its braces.
std::string objectText(toml::table &table)
{
    table.is_inline(false);
    return printed(table);
}

std::uint64_t digestOf(const std::string &name, const std::string &text)
{
    return rendezvousWeight(name, text);
}

// Reads the text of one value: `3`, `"a"`, `[1]`, `{ a = 1 }`, or lines of keys, which make a table. The value
// stands under "v".
std::optional<toml::table> parseValue(const std::string &value, FaultList &faults)
{
    FaultList asValueFaults;
    auto holder = parseToml("v = " + value, "value", asValueFaults);
    // More than one key: the text tried to leave its place, as in "1\nother = 2".
    if (holder && holder->size() == 1 && holder->contains("v")) {
        return holder;
    }
    auto lines = parseToml(value, "value", faults);
    if (!lines) {
        return std::nullopt;
    }
    toml::table wrapped;
    wrapped.insert("v", std::move(*lines));
    return wrapped;
}

// Walks to the table that holds the last key; creates tables on the way when `create` is set.
toml::table *parentOf(toml::table &root, const std::vector<std::string> &keys, bool create)
{
    toml::table *table = &root;
    for (std::size_t i = 0; i + 1 < keys.size(); ++i) {
        if (create && !table->contains(keys[i])) {
            table->insert(keys[i], toml::table{});
        }
        table = (*table)[keys[i]].as_table();
        if (table == nullptr) {
            return nullptr;
        }
    }
    return table;
}

struct ObjectPath
{
    std::string object;
    std::vector<std::string> inside;
};

// Which object a path of at least one key leads into. A path of a section alone leads into none.
std::optional<ObjectPath> objectPath(const std::vector<std::string> &keys)
{
    const std::size_t depth = isSection(keys[0]) ? 2 : 1;
    if (keys.size() < depth) {
        return std::nullopt;
    }
    const auto split = keys.begin() + static_cast<std::ptrdiff_t>(depth);
    return ObjectPath{joinPath({keys.begin(), split}), {split, keys.end()}};
}

void splitSection(const std::string &section, toml::table &table, ParsedObjects &objects, FaultList &faults)
{
    for (auto &&[key, node] : table) {
        const std::string name = joinPath({section, std::string(key.str())});
        if (toml::table *object = node.as_table()) {
            objects.emplace(name, std::move(*object));
        } else {
            faults.add(key.source(), name, "must be a table; write [" + name + "]");
        }
    }
}

std::vector<std::string> objectsOfSection(const ConfigFile &file, const std::string &section)
{
    const std::string prefix = section + '.';
    std::vector<std::string> names;
    for (auto it = file.objects.lower_bound(prefix);
         it != file.objects.end() && it->first.compare(0, prefix.size(), prefix) == 0;
         ++it) {
        names.push_back(it->first);
    }
    return names;
}

EditOutcome replaceFile(ConfigFile &file,
                        const std::optional<std::string> &value,
                        std::string_view fileName,
                        FaultList &faults)
{
    auto objects = parseObjects(value.value_or(""), fileName, faults);
    if (!objects) {
        return EditOutcome::Faulty;
    }
    file = fileOf(*objects);
    return EditOutcome::Done;
}

EditOutcome replaceSection(ConfigFile &file,
                           const std::string &section,
                           const std::optional<std::string> &value,
                           FaultList &faults)
{
    ParsedObjects objects;
    if (value) {
        auto holder = parseValue(*value, faults);
        toml::table *table = holder ? (*holder)["v"].as_table() : nullptr;
        if (table == nullptr) {
            faults.add(section, "must be a table of objects");
            return EditOutcome::Faulty;
        }
        splitSection(section, *table, objects, faults);
        if (!faults.empty()) {
            return EditOutcome::Faulty;
        }
    }
    const std::vector<std::string> before = objectsOfSection(file, section);
    if (!value && before.empty()) {
        return EditOutcome::NothingThere;
    }
    for (const std::string &name : before) {
        setObject(file, name, std::nullopt);
    }
    for (auto &[name, table] : objects) {
        setObject(file, name, objectText(table));
    }
    return EditOutcome::Done;
}

EditOutcome replaceObject(ConfigFile &file,
                          const std::string &name,
                          const std::optional<std::string> &value,
                          FaultList &faults)
{
    if (!value) {
        const bool present = file.objects.count(name) > 0;
        setObject(file, name, std::nullopt);
        return present ? EditOutcome::Done : EditOutcome::NothingThere;
    }
    auto holder = parseValue(*value, faults);
    toml::table *table = holder ? (*holder)["v"].as_table() : nullptr;
    if (table == nullptr) {
        faults.add(name, "must be a table, such as { key = value }");
        return EditOutcome::Faulty;
    }
    setObject(file, name, objectText(*table));
    return EditOutcome::Done;
}

EditOutcome editObject(ConfigFile &file,
                       const ObjectPath &path,
                       const std::optional<std::string> &value,
                       std::string_view fileName,
                       FaultList &faults)
{
    auto table = parseObject(file, path.object, fileName, faults);
    if (!table) {
        return EditOutcome::Faulty;
    }
    toml::table *parent = parentOf(*table, path.inside, value.has_value());
    if (!value) {
        if (parent == nullptr || parent->erase(path.inside.back()) == 0) {
            return EditOutcome::NothingThere;
        }
        setObject(file, path.object, printed(*table));
        return EditOutcome::Done;
    }
    if (parent == nullptr) {
        faults.add(path.object, "a parent of the path is no table; correct the path");
        return EditOutcome::Faulty;
    }
    auto holder = parseValue(*value, faults);
    if (!holder) {
        return EditOutcome::Faulty;
    }
    std::move(*holder->get("v")).visit([&](auto &&inner) {
        parent->insert_or_assign(path.inside.back(), std::forward<decltype(inner)>(inner));
    });
    setObject(file, path.object, printed(*table));
    return EditOutcome::Done;
}

// The whole file, or one section, as one table.
toml::table composed(const ConfigFile &file, const std::vector<std::string> &names)
{
    toml::table root;
    FaultList ignored;
    for (const std::string &name : names) {
        const auto keys = splitPath(name);
        auto table = parseObject(file, name, "", ignored);
        if (!keys || !table) {
            continue;
        }
        if (toml::table *parent = parentOf(root, *keys, true)) {
            parent->insert_or_assign(keys->back(), std::move(*table));
        }
    }
    return root;
}

} // namespace

bool isSection(std::string_view name)
{
    return std::find(std::begin(SectionNames), std::end(SectionNames), name) != std::end(SectionNames);
}

std::optional<ParsedObjects> parseObjects(std::string_view text, std::string_view fileName, FaultList &faults)
{
    auto root = parseToml(text, fileName, faults);
    if (!root) {
        return std::nullopt;
    }
    ParsedObjects objects;
    for (auto &&[key, node] : *root) {
        const std::string name(key.str());
        toml::table *table = node.as_table();
        if (table == nullptr) {
            faults.add(key.source(), joinPath({name}), "must be a table; remove it or write [" + name + "]");
        } else if (isSection(name)) {
            splitSection(name, *table, objects, faults);
        } else {
            objects.emplace(joinPath({name}), std::move(*table));
        }
    }
    if (!faults.empty()) {
        return std::nullopt;
    }
    return objects;
}

void setObject(ConfigFile &file, const std::string &name, std::optional<std::string> text)
{
    const auto before = file.objects.find(name);
    if (before != file.objects.end()) {
        file.digest ^= digestOf(name, *before->second);
    }
    if (!text) {
        if (before != file.objects.end()) {
            file.objects.erase(before);
        }
        return;
    }
    file.digest ^= digestOf(name, *text);
    file.objects[name] = std::make_shared<const std::string>(std::move(*text));
}

ConfigFile fileOf(ParsedObjects &objects)
{
    ConfigFile file;
    for (auto &[name, table] : objects) {
        setObject(file, name, objectText(table));
    }
    return file;
}

std::optional<toml::table> parseObject(const ConfigFile &file,
                                       const std::string &name,
                                       std::string_view fileName,
                                       FaultList &faults)
{
    const auto found = file.objects.find(name);
    if (found == file.objects.end()) {
        return toml::table{};
    }
    return parseToml(*found->second, std::string(fileName) + " [" + name + ']', faults);
}

EditOutcome editFile(ConfigFile &file,
                     const std::vector<std::string> &keys,
                     const std::optional<std::string> &value,
                     std::string_view fileName,
                     FaultList &faults)
{
    if (keys.empty()) {
        return replaceFile(file, value, fileName, faults);
    }
    const auto path = objectPath(keys);
    if (!path) {
        return replaceSection(file, keys[0], value, faults);
    }
    if (path->inside.empty()) {
        return replaceObject(file, path->object, value, faults);
    }
    return editObject(file, *path, value, fileName, faults);
}

std::optional<std::string> textAt(const ConfigFile &file, const std::vector<std::string> &keys)
{
    if (keys.empty()) {
        std::vector<std::string> all;
        all.reserve(file.objects.size());
        for (const auto &[name, text] : file.objects) {
            all.push_back(name);
        }
        return printed(composed(file, all));
    }
    const auto path = objectPath(keys);
    if (!path) {
        toml::table section = composed(file, objectsOfSection(file, keys[0]));
        const toml::table *inside = section[keys[0]].as_table();
        return inside == nullptr ? std::nullopt : std::optional(printed(*inside));
    }
    FaultList ignored;
    auto table = parseObject(file, path->object, "", ignored);
    if (!table || file.objects.count(path->object) == 0) {
        return std::nullopt;
    }
    if (path->inside.empty()) {
        return *file.objects.at(path->object);
    }
    toml::table *parent = parentOf(*table, path->inside, false);
    const toml::node *node = parent == nullptr ? nullptr : parent->get(path->inside.back());
    if (node == nullptr) {
        return std::nullopt;
    }
    std::string text;
    node->visit([&](const auto &value) {
        text = printed(value);
    });
    return text;
}

} // namespace Godwit::internal
